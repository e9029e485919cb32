package org.redwinghook.core.routing;

import java.util.function.DoubleSupplier;
import java.util.function.IntSupplier;

/** Limits retries to a share of the requests in a window. Times are milliseconds of a monotonic clock. */
public final class RetryBudget {

    private static final long SECOND_MILLIS = 1_000;

    /** Retries that the window always allows; at a few requests per second, a share alone would forbid every retry. */
    private static final int DEFAULT_MINIMUM_RETRIES = 3;

    private final int maximumAttempts;
    private final DoubleSupplier retryShare;
    private final IntSupplier minimumRetries;
    private final int[] requests;
    private final int[] retries;
    private long currentSecond;

    /**
     * Creates a budget.
     *
     * @param maximumAttempts maximum number of attempts of one request
     * @param retryShare retries as a share of requests over ten seconds
     */
    public RetryBudget(int maximumAttempts, double retryShare) {
        this(maximumAttempts, () -> retryShare, () -> DEFAULT_MINIMUM_RETRIES, RetryLimits.DEFAULT_WINDOW_SECONDS);
    }

    /**
     * Creates a budget.
     *
     * @param maximumAttempts maximum number of attempts of one request
     * @param retryShare retries as a share of the requests in a window
     * @param minimumRetries retries that are always allowed in a window, regardless of the number of requests
     * @param windowSeconds length of the window, in seconds
     */
    public RetryBudget(int maximumAttempts, DoubleSupplier retryShare, IntSupplier minimumRetries, int windowSeconds) {
        this.maximumAttempts = maximumAttempts;
        this.retryShare = retryShare;
        this.minimumRetries = minimumRetries;
        this.requests = new int[windowSeconds];
        this.retries = new int[windowSeconds];
    }

    /**
     * Counts a new request.
     *
     * @param nowMillis current time
     */
    public void requestStarted(long nowMillis) {
        advance(nowMillis);
        requests[slot(currentSecond)]++;
    }

    /**
     * Consumes a retry from the budget if one is available.
     *
     * @param attempts attempts that the request has made
     * @param nowMillis current time
     * @return whether the request may be retried
     */
    public boolean tryRetry(int attempts, long nowMillis) {
        advance(nowMillis);
        double allowed = Math.max(minimumRetries.getAsInt(), retryShare.getAsDouble() * sum(requests));
        if (attempts >= maximumAttempts || sum(retries) + 1 > allowed) {
            return false;
        }
        retries[slot(currentSecond)]++;
        return true;
    }

    private void advance(long nowMillis) {
        long second = Math.floorDiv(nowMillis, SECOND_MILLIS);
        long first = Math.max(currentSecond + 1, second - requests.length + 1);
        for (long passed = first; passed <= second; passed++) {
            requests[slot(passed)] = 0;
            retries[slot(passed)] = 0;
        }
        currentSecond = Math.max(currentSecond, second);
    }

    private int slot(long second) {
        return (int) Math.floorMod(second, (long) requests.length);
    }

    private static int sum(int[] counts) {
        int total = 0;
        for (int count : counts) {
            total += count;
        }
        return total;
    }
}
