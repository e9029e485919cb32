package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.CustomerAccess;
import org.redwinghook.core.forward.Route;

/**
 * A request with its matched route and the access that its API key grants.
 *
 * @param head parsed request head
 * @param requestId identifier of the request
 * @param route matched route
 * @param access access granted by the API key, null if the route needs none
 * @param receivedAtMillis monotonic arrival time, in milliseconds
 */
record AdmittedRequest(
        RequestHead head,
        String requestId,
        Route route,
        @Nullable CustomerAccess access,
        long receivedAtMillis) {}
