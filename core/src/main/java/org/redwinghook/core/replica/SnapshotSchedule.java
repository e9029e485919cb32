package org.redwinghook.core.replica;

import java.util.Map;

/**
 * Spreads the reads with which the routers of a deployment replace their views of the store's logs when an era begins.
 * Load: 360 routers learn of the era within a second, and a snapshot of 21,000 endpoints takes 42 reads. The readers of
 * the store do not wait; what they read and relay reaches the others meanwhile.
 */
public final class SnapshotSchedule {

    /** Half of the store's 2,000 reads a second; the other half is left to retries and to reads of other parts. */
    static final long READS_PER_SECOND = 1_000;

    /** Number of reads that all routers together may send at once. */
    static final long MAXIMUM_BURST_READS = 500;

    /** Maximum number of keys in the answer to one read. */
    private static final int KEYS_PER_READ = 500;

    private static final long MILLIS_PER_SECOND = 1_000;

    /** Initial pause after a read that failed or that an earlier era answered; it doubles with each such read. */
    private static final long INITIAL_RETRY_MILLIS = 100;

    /** Maximum pause in small deployments, in milliseconds. */
    private static final long MAXIMUM_RETRY_MILLIS = 400;

    private static final int MAXIMUM_DOUBLINGS = 10;

    private SnapshotSchedule() {}

    /**
     * Time from the beginning of an era until a router that is no reader of the store takes its snapshot of a topic.
     *
     * @param topic the topic; small ones, on which changes of the configuration depend, come first
     * @param keys number of keys of each topic
     * @param routers number of routers
     * @param share position of the router among all routers, from 0 to 1
     * @return the time in milliseconds, 0 if the snapshots of all routers are few reads
     */
    public static long delayMillis(RecordTopic topic, Map<RecordTopic, Integer> keys, int routers, double share) {
        long readsBefore = 0;
        long reads = 0;
        for (RecordTopic other : RecordTopic.values()) {
            long topicReads = routers * reads(keys.getOrDefault(other, 0));
            reads += topicReads;
            if (other != topic && precedes(other, topic)) {
                readsBefore += topicReads;
            }
        }
        if (reads <= MAXIMUM_BURST_READS) {
            return 0;
        }
        double position = readsBefore + share * routers * reads(keys.getOrDefault(topic, 0));
        return (long) (position * MILLIS_PER_SECOND / READS_PER_SECOND);
    }

    private static boolean precedes(RecordTopic first, RecordTopic second) {
        return first == RecordTopic.OPERATORS || second == RecordTopic.ENDPOINTS;
    }

    private static long reads(int keys) {
        return Math.max(1, (keys + KEYS_PER_READ - 1L) / KEYS_PER_READ);
    }

    /**
     * Pause after reads of a topic that failed or that an earlier era answered.
     *
     * @param attempts number of such reads in a row before the last one
     * @param routers number of routers
     * @return the time in milliseconds; it grows until the retries of all routers together keep to the rate
     */
    public static long retryMillis(int attempts, int routers) {
        long fairMillis = RecordTopic.values().length * routers * MILLIS_PER_SECOND / READS_PER_SECOND;
        long maximumMillis = Math.max(MAXIMUM_RETRY_MILLIS, fairMillis);
        return Math.min(maximumMillis, INITIAL_RETRY_MILLIS << Math.min(attempts, MAXIMUM_DOUBLINGS));
    }
}
