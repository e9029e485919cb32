package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;

/**
 * What the head of an endpoint's answer says.
 *
 * @param status HTTP status
 * @param requestId request that the answer belongs to, null if the endpoint did not say
 * @param notRun whether the endpoint states that it did not run the request
 * @param intact whether the head is whole and the body is in the form that the router asked for
 * @param waitingRequests requests that wait at the endpoint, -1 if it did not say
 */
public record ResponseHead(
        int status, @Nullable String requestId, boolean notRun, boolean intact, int waitingRequests) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /**
     * Whether the answer is a success.
     *
     * @return true for status 2xx
     */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /**
     * Whether the answer belongs to a request.
     *
     * @param id identifier of the request
     * @return false if the endpoint named another request
     */
    public boolean belongsTo(String id) {
        return requestId == null || requestId.equals(id);
    }
}
