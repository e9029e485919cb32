package org.redwinghook.router.peer;

/**
 * Intervals and timeouts of connections between routers, in milliseconds.
 *
 * @param heartbeatMillis interval of heartbeats
 * @param silenceMillis time without an incoming message after which a connection is closed
 * @param reconnectMillis delay before a lost connection is reopened
 */
public record MeshTiming(long heartbeatMillis, long silenceMillis, long reconnectMillis) {

    /** Values for a large number of routers, whose control traffic must stay small. */
    public static final MeshTiming DEFAULT = new MeshTiming(5_000, 15_000, 1_000);

    /**
     * Values for routers that relay records, which a router without access to the store needs within one or two
     * seconds.
     */
    public static final MeshTiming FAST = new MeshTiming(500, 1_500, 300);
}
