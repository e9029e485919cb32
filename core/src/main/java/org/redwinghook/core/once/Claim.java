package org.redwinghook.core.once;

/**
 * A caller's request to run the call of an idempotency key.
 *
 * @param number number of the claim, never used twice by one executor
 * @param key the key
 * @param requestHash hash of the request
 * @param deadlineMillis monotonic time after which the caller no longer waits
 */
public record Claim(long number, OperationKey key, String requestHash, long deadlineMillis) {

    /** A won key must be run within half of the window, so that it is not run after others have removed it. */
    private static final int WINDOW_DIVISOR = 2;

    /**
     * Latest time at which a claim may still run. An executor that is paused for longer than the window may read its
     * own intent as the winner of a key that others have since won and run again.
     *
     * @param deadlineMillis time after which the caller no longer waits
     * @param nowMillis time now by the same clock
     * @param windowMillis time for which keys are remembered
     * @return the caller's deadline, or half a window from now if that is earlier
     */
    public static long latestStart(long deadlineMillis, long nowMillis, long windowMillis) {
        return Math.min(deadlineMillis, nowMillis + windowMillis / WINDOW_DIVISOR);
    }
}
