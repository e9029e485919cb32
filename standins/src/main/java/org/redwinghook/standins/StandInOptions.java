package org.redwinghook.standins;

import org.kohsuke.args4j.Option;

/** Command line of the stand-ins. */
public final class StandInOptions {

    @Option(name = "--kind", required = true, metaVar = "KIND", usage = "log, vm-list, engine or plain")
    private String kind = "";

    @Option(name = "--port", required = true, metaVar = "PORT", usage = "port on 127.0.0.1")
    private int port;

    @Option(name = "--file", metaVar = "FILE", usage = "JSON file with the VM list; vm-list only")
    private String file = "";

    @Option(name = "--token-millis", metaVar = "MILLIS", usage = "time for each token; engine only")
    private int tokenMillis = 20;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean help;

    /**
     * Kind of stand-in.
     *
     * @return the kind
     */
    public String kind() {
        return kind;
    }

    /**
     * Port to listen on.
     *
     * @return the port
     */
    public int port() {
        return port;
    }

    /**
     * File with the VM list.
     *
     * @return the file's name
     */
    public String file() {
        return file;
    }

    /**
     * Time for each token.
     *
     * @return milliseconds
     */
    public int tokenMillis() {
        return tokenMillis;
    }

    /**
     * Whether to print help.
     *
     * @return true to print help and exit
     */
    public boolean help() {
        return help;
    }
}
