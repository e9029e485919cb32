package org.redwinghook.core.membership;

/**
 * Measures how long a peer has been silent, at periodic checks. Of the time between two checks at most two intervals
 * count: a process that was paused could not read what the peer sent, and its own pause is not silence of the peer.
 * Times are milliseconds of a monotonic clock.
 */
public final class PeerSilence {

    private static final int MAXIMUM_INTERVALS_PER_CHECK = 2;

    private final long maximumStepMillis;
    private final long timeoutMillis;
    private long checkedAtMillis;
    private long silentMillis;
    private boolean hasMessage;

    /**
     * Starts measuring.
     *
     * @param nowMillis current time
     * @param intervalMillis interval between checks
     * @param timeoutMillis time without a message after which the peer counts as silent
     */
    public PeerSilence(long nowMillis, long intervalMillis, long timeoutMillis) {
        this.checkedAtMillis = nowMillis;
        this.maximumStepMillis = MAXIMUM_INTERVALS_PER_CHECK * intervalMillis;
        this.timeoutMillis = timeoutMillis;
    }

    /** Records a message of the peer. */
    public void recordMessage() {
        hasMessage = true;
    }

    /**
     * Checks the peer.
     *
     * @param nowMillis current time
     * @return whether the peer is silent
     */
    public boolean check(long nowMillis) {
        silentMillis = hasMessage ? 0 : silentMillis + Math.min(nowMillis - checkedAtMillis, maximumStepMillis);
        hasMessage = false;
        checkedAtMillis = nowMillis;
        return silentMillis >= timeoutMillis;
    }
}
