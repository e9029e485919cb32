package org.redwinghook.router.endpoint;

import org.redwinghook.core.document.YamlMap;

/**
 * Times that govern connections to sidecars and deliveries.
 *
 * @param heartbeatMillis idle time after which a heartbeat is sent
 * @param silenceMillis time without any message after which a connection is closed
 * @param reconnectLeastMillis first delay before a lost connection is opened again
 * @param reconnectMostMillis longest delay before a lost connection is opened again
 * @param resumeMillis time after which a cut generation that could not be resumed is interrupted
 * @param graceMillis time beyond the caller's timeout in which the sidecar's own refusal may still arrive
 */
public record DeliveryTiming(
        long heartbeatMillis,
        long silenceMillis,
        long reconnectLeastMillis,
        long reconnectMostMillis,
        long resumeMillis,
        long graceMillis) {

    /** Times of a deployment that sets none. */
    public static final DeliveryTiming DEFAULT = new DeliveryTiming(5_000, 15_000, 100, 500, 10_000, 250);

    private static final long MAXIMUM_MILLIS = 3_600_000;

    /**
     * Reads the times.
     *
     * @param map the mapping, may be empty
     * @return the times
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
}
