package org.redwinghook.core.replica;

/**
 * Part that a router takes in reading the store. Load: endpoints report so often that a waiting read returns at once, and
 * each call to the store is billed.
 */
public enum StoreRole {
    /** Waits for new records and relays them at once. */
    FIRST_READER(1_000, 150),
    /** Covers the time until a failure of the first reader is detected, with fewer reads. */
    SECOND_READER(1_000, 600),
    /** Relies on relayed records and reads only in case that none are relayed. */
    FOLLOWER(0, 60_000);

    private final long waitMillis;
    private final long pauseMillis;

    StoreRole(long waitMillis, long pauseMillis) {
        this.waitMillis = waitMillis;
        this.pauseMillis = pauseMillis;
    }

    /**
     * Longest wait of a read for new records; an unresponsive connection is detected one second later.
     *
     * @return the time in milliseconds, 0 for a read that does not wait
     */
    public long waitMillis() {
        return waitMillis;
    }

    /**
     * Pause between two reads.
     *
     * @return the time in milliseconds
     */
    public long pauseMillis() {
        return pauseMillis;
    }
}
