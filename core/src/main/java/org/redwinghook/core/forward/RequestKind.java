package org.redwinghook.core.forward;

/** Kind of a route's requests, which decides whether a request may be sent to an endpoint more than once. */
public enum RequestKind {
    /** May run any number of times. */
    IDEMPOTENT {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return true;
        }
    },
    /** Runs at most once. */
    NON_IDEMPOTENT {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return false;
        }
    },
    /** Responds with a stream of events; runs at most once unless its streams may be resumed. */
    STREAMING {
        @Override
        public boolean mayRunAgain(boolean resumable) {
            return resumable;
        }
    };

    /**
     * Whether a request that may have run may be sent to another endpoint.
     *
     * @param resumable whether the route's streams may be resumed after the last event received
     * @return true if a second run is harmless
     */
    public abstract boolean mayRunAgain(boolean resumable);
}
