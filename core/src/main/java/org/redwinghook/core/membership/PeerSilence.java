package org.redwinghook.core.membership;

/**
 * Measures how long a peer has been silent. Time in which this process did not check counts as one interval at most:
 * after a pause of this process, messages of the peer wait to be read.
 */
public final class PeerSilence {

    private final long checkIntervalMillis;
    private long lastCheckMillis;
    private long silentMillis;

    /**
     * Starts the measurement.
     *
     * @param checkIntervalMillis interval at which {@link #check} is called, in milliseconds
     * @param nowMillis monotonic time in milliseconds
     */
    public PeerSilence(long checkIntervalMillis, long nowMillis) {
        this.checkIntervalMillis = checkIntervalMillis;
        this.lastCheckMillis = nowMillis;
    }

    /** Records a message of the peer. */
    public void recordMessage() {
        silentMillis = 0;
    }

    /**
     * Adds the time since the last check.
     *
     * @param nowMillis monotonic time in milliseconds
     * @return time without a message, in milliseconds
     */
    public long check(long nowMillis) {
        silentMillis += Math.min(nowMillis - lastCheckMillis, checkIntervalMillis);
        lastCheckMillis = nowMillis;
        return silentMillis;
    }
}
