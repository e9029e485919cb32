package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.CallerLimits;
import org.redwinghook.core.forward.CustomerAccess;
import org.redwinghook.core.forward.Route;

/**
 * A request with its matched route and the access that its API key grants.
 *
 * @param head parsed request head
 * @param requestId identifier of the request
 * @param route matched route
 * @param access access granted by the API key, null if the route needs none
 * @param limits limits on the caller
 * @param receivedAtMillis monotonic arrival time, in milliseconds
 */
record AdmittedRequest(
        RequestHead head,
        String requestId,
        Route route,
        @Nullable CustomerAccess access,
        CallerLimits limits,
        long receivedAtMillis) {

    /**
     * Monotonic time at which the caller no longer waits for an answer.
     *
     * @return the time, in milliseconds
     */
    long deadlineMillis() {
        long timeoutMillis = head.timeoutMillis() > 0
                ? Math.min(head.timeoutMillis(), route.timeoutMillis())
                : route.timeoutMillis();
        return receivedAtMillis + timeoutMillis;
    }
}
