package org.redwinghook.router.endpoint;

/** Limits retries to a share of the requests. */
public interface RetryPermission {

    /** Counts a request that may be retried later. */
    void requestStarted();

    /**
     * Takes permission for one retry.
     *
     * @param attempts attempts that the request has made
     * @return false if retries are used up for now
     */
    boolean tryRetry(int attempts);
}
