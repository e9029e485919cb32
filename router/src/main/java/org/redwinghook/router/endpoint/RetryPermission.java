package org.redwinghook.router.endpoint;

/** Limits retries to a share of the requests. */
public interface RetryPermission {

    /** Counts a request that may be retried later. */
    void requestStarted();

    /**
     * Requests permission for one retry.
     *
     * @param attempts attempts that the request has made
     * @return false if the retry budget is used up
     */
    boolean tryRetry(int attempts);
}
