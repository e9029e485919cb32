package org.redwinghook.standins;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;

/** Options that are common to all kinds of stand-ins. */
public abstract class KindOptions {

    @Option(name = "--port", required = true, metaVar = "PORT", usage = "port on 127.0.0.1")
    private int port;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean isHelpRequested;

    /**
     * Creates the stand-in without starting it.
     *
     * @param vertx the Vert.x instance that the stand-in runs on
     * @return the stand-in
     */
    public abstract StandIn create(Vertx vertx);

    /**
     * Returns the port to listen on.
     *
     * @return the port
     */
    public final int port() {
        return port;
    }

    /**
     * Returns whether the command line asks for help.
     *
     * @return true to print help and exit
     */
    public final boolean isHelpRequested() {
        return isHelpRequested;
    }
}
