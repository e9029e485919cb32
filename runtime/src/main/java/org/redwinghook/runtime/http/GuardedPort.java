package org.redwinghook.runtime.http;

/**
 * A port whose connections are limited.
 *
 * @param name name for the log and for metrics
 * @param maximumConnections maximum number of connections
 * @param maximumIdleMillis time after which a connection without progress is closed even while a request runs, in
 *     milliseconds
 */
public record GuardedPort(String name, int maximumConnections, long maximumIdleMillis) {

    /**
     * Creates a port whose requests may take any time.
     *
     * @param name name for the log and for metrics
     * @param maximumConnections maximum number of connections
     */
    public GuardedPort(String name, int maximumConnections) {
        this(name, maximumConnections, Long.MAX_VALUE);
    }

    /**
     * Whether all requests are answered at once.
     *
     * @return whether a connection with a running request may be closed for another one
     */
    boolean answersAtOnce() {
        return maximumIdleMillis != Long.MAX_VALUE;
    }
}
