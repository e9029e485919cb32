package org.redwinghook.core.once;

import java.nio.charset.StandardCharsets;
import java.util.OptionalLong;
import java.util.UUID;

import com.google.common.hash.Hashing;

/**
 * Idempotency key of a customer at one service.
 *
 * @param customer customer that chose the key
 * @param key the key as the caller sent it
 */
public record OperationKey(String customer, String key) {

    /** Number of partitions of each service. */
    public static final int PARTITIONS = 16;

    private static final int TIME_ORDERED_UUID_VERSION = 7;
    private static final int TIMESTAMP_SHIFT_BITS = 16;

    /**
     * Partition that the key belongs to.
     *
     * @return number from 0 to {@link #PARTITIONS} - 1
     */
    public int partition() {
        long hash = Hashing.murmur3_128()
                .newHasher()
                .putInt(customer.length())
                .putUnencodedChars(customer)
                .putString(key, StandardCharsets.UTF_8)
                .hash()
                .asLong();
        return (int) Math.floorMod(hash, (long) PARTITIONS);
    }

    /**
     * Name of the stream that holds the intents of a partition.
     *
     * @param service name of the service
     * @param partition number of the partition
     * @return name of the stream
     */
    public static String streamName(String service, int partition) {
        return "intents." + service + "." + partition;
    }

    /**
     * Time at which the key was created, known for UUIDs of version 7 (RFC 9562).
     *
     * @return milliseconds since 1970, empty for other keys
     */
    public OptionalLong createdAtMillis() {
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == TIME_ORDERED_UUID_VERSION
                    ? OptionalLong.of(uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT_BITS)
                    : OptionalLong.empty();
        } catch (IllegalArgumentException exception) {
            return OptionalLong.empty();
        }
    }
}
