package org.redwinghook.core.once;

/**
 * A caller's request to run a key.
 *
 * @param number number of the claim, never used twice by one executor
 * @param key the key
 * @param requestHash hash of the request
 * @param deadlineMillis monotonic time after which the caller no longer waits
 */
public record Claim(long number, OperationKey key, String requestHash, long deadlineMillis) {

    /** Part of the window in which a won key must be run, so that it is not run after others have forgotten it. */
    private static final int WINDOW_DIVISOR = 2;

    /**
     * Latest time at which a claim may still run. An executor that is paused for longer than the window may find itself
     * the winner of a key that has since been won and run again.
     *
     * @param deadlineMillis time after which the caller no longer waits
     * @param nowMillis time now by the same clock
     * @param windowMillis time for which keys are remembered
     * @return the caller's time, or half a window from now if that is earlier
     */
    public static long latestStart(long deadlineMillis, long nowMillis, long windowMillis) {
        return Math.min(deadlineMillis, nowMillis + windowMillis / WINDOW_DIVISOR);
    }
}
