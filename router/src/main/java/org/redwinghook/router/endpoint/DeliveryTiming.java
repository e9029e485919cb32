package org.redwinghook.router.endpoint;

import org.redwinghook.core.document.YamlMap;

/**
 * Intervals and timeouts of connections to sidecars and of deliveries.
 *
 * @param heartbeatMillis time without an outgoing message after which a heartbeat is sent
 * @param silenceMillis time without an incoming message after which a connection is closed
 * @param reconnectLeastMillis initial delay before a lost connection is reopened
 * @param reconnectMostMillis maximum delay before a lost connection is reopened
 * @param resumeMillis time after which a generation that lost its connection and could not be resumed is interrupted
 * @param graceMillis time added to the caller's timeout, in which a refusal by the sidecar may still arrive
 */
public record DeliveryTiming(
        long heartbeatMillis,
        long silenceMillis,
        long reconnectLeastMillis,
        long reconnectMostMillis,
        long resumeMillis,
        long graceMillis) {

    /** Values of settings that are absent. */
    public static final DeliveryTiming DEFAULT = new DeliveryTiming(5_000, 15_000, 100, 500, 10_000, 250);

    private static final long MAXIMUM_MILLIS = 3_600_000;
    private static final long LIVENESS_CHECKS_PER_HEARTBEAT = 5;

    /**
     * Reads the intervals and timeouts.
     *
     * @param map the settings, may be empty
     * @return the intervals and timeouts
     */
    public static DeliveryTiming read(YamlMap map) {
        DeliveryTiming timing = new DeliveryTiming(
                map.number("heartbeatMillis", 1, MAXIMUM_MILLIS, DEFAULT.heartbeatMillis),
                map.number("silenceMillis", 1, MAXIMUM_MILLIS, DEFAULT.silenceMillis),
                map.number("reconnectLeastMillis", 1, MAXIMUM_MILLIS, DEFAULT.reconnectLeastMillis),
                map.number("reconnectMostMillis", 1, MAXIMUM_MILLIS, DEFAULT.reconnectMostMillis),
                map.number("resumeMillis", 1, MAXIMUM_MILLIS, DEFAULT.resumeMillis),
                map.number("graceMillis", 0, MAXIMUM_MILLIS, DEFAULT.graceMillis));
        map.rejectUnknownKeys();
        return timing;
    }

    /**
     * Interval of the liveness checks of a connection.
     *
     * @return the interval in milliseconds
     */
    public long livenessCheckMillis() {
        return Math.max(1, heartbeatMillis / LIVENESS_CHECKS_PER_HEARTBEAT);
    }
}
