package org.redwinghook.core.forward;

import org.jspecify.annotations.Nullable;

/** A condition on the endpoints to which a request may go. */
@FunctionalInterface
public interface EndpointRule {

    /**
     * Checks an endpoint of the request's service.
     *
     * @param endpoint the endpoint
     * @param scope the request
     * @param nowMillis current monotonic time
     * @return why the request may not go there now, null if the rule allows it
     */
    @Nullable
    Exclusion check(KnownEndpoint endpoint, RequestScope scope, long nowMillis);
}
