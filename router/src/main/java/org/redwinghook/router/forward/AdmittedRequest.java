package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.CustomerAccess;
import org.redwinghook.core.forward.Route;

/**
 * A request whose route and key are known.
 *
 * @param head what its head says
 * @param requestId its identifier
 * @param route its route
 * @param access what its key gives access to, null if the route needs none
 * @param receivedAtMillis time of its arrival, monotonic
 */
record AdmittedRequest(
        RequestHead head,
        String requestId,
        Route route,
        @Nullable CustomerAccess access,
        long receivedAtMillis) {}
