package org.redwinghook.standins;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;

/** Options that all kinds of stand-ins have. */
public abstract class KindOptions {

    @Option(name = "--port", required = true, metaVar = "PORT", usage = "port on 127.0.0.1")
    private int port;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean isHelpRequested;

    /**
     * Creates the stand-in.
     *
     * @param vertx runs it
     * @return the stand-in, not started
     */
    public abstract StandIn create(Vertx vertx);

    /**
     * Port to listen on.
     *
     * @return the port
     */
    public final int port() {
        return port;
    }

    /**
     * Whether to print help.
     *
     * @return true to print help and exit
     */
    public final boolean isHelpRequested() {
        return isHelpRequested;
    }
}
