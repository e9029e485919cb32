package org.redwinghook.core.replica;

import java.util.Arrays;

import org.jspecify.annotations.Nullable;

/**
 * The record that a process writes about itself, and whether it has to be written again since the store lost it. Load: 360
 * processes that registered in the seconds which the store's copy lacks. The others drop a lost record after 2 s, and the
 * store takes 400 writes a second.
 */
public final class OwnRecord {

    /** Time over which the processes spread their writes, in milliseconds. */
    private static final long SPREAD_MILLIS = 1_000;

    private byte @Nullable [] value;

    /**
     * Sets what the log has to have.
     *
     * @param newest the value, empty if the record is removed
     */
    public void set(byte[] newest) {
        value = newest.clone();
    }

    /**
     * What the log has to have.
     *
     * @return the value, empty if the record is removed or was never set
     */
    public byte[] value() {
        byte[] newest = value;
        return newest == null ? new byte[0] : newest.clone();
    }

    /**
     * Time from the first snapshot of a log to the check whether it has the record.
     *
     * @param random number from 0 to 1, another one for each process
     * @return the time in milliseconds
     */
    public long checkDelayMillis(double random) {
        return (long) (random * SPREAD_MILLIS);
    }

    /**
     * Whether the log lacks the record, or has an older one or one that was removed.
     *
     * @param logged newest record of the key in the log, null if there is none
     * @return whether the record has to be written
     */
    public boolean isLost(@Nullable VersionedRecord logged) {
        byte[] newest = value;
        if (newest == null) {
            return false;
        }
        byte[] known = logged == null ? null : logged.value();
        return newest.length == 0 ? known != null : !Arrays.equals(newest, known);
    }
}
