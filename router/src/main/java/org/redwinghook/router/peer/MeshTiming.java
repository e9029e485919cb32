package org.redwinghook.router.peer;

/**
 * Times of connections between routers, in milliseconds.
 *
 * @param heartbeatMillis interval of heartbeats
 * @param silenceMillis silence after which a connection is closed
 * @param reconnectMillis pause before a lost connection is opened again
 */
public record MeshTiming(long heartbeatMillis, long silenceMillis, long reconnectMillis) {

    /** Times for many routers, whose control traffic must stay small. */
    public static final MeshTiming DEFAULT = new MeshTiming(5_000, 15_000, 1_000);

    /** Times for routers that pass on what a router without the store must know within a second or two. */
    public static final MeshTiming FAST = new MeshTiming(500, 1_500, 300);
}
