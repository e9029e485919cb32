package org.redwinghook.router.endpoint;

/** Limits retries to a share of the requests. */
public interface RetryPermission {

    /** Permits every retry. */
    RetryPermission UNLIMITED = new RetryPermission() {
        @Override
        public void requestStarted() {
            // Nothing to count without a limit.
        }

        @Override
        public boolean tryRetry() {
            return true;
        }
    };

    /** Counts a request that may be retried later. */
    void requestStarted();

    /**
     * Takes permission for one retry.
     *
     * @return false if retries are used up for now
     */
    boolean tryRetry();
}
