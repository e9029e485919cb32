package org.redwinghook.router.forward;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.ReportedLoad;

/**
 * Values from the head of an endpoint's response.
 *
 * @param status HTTP status
 * @param requestId identifier of the request that the response belongs to, null if absent
 * @param notRun whether the endpoint reports that it did not run the request
 * @param intact whether the head is complete and the body has no content encoding
 * @param load load that the endpoint reports, null if absent
 * @param closesConnection whether the endpoint announces that it closes the connection
 * @param leaving whether the endpoint announces that it leaves
 * @param pauseMillis time for which the endpoint wants no requests, in milliseconds, 0 if it asks for no pause
 */
public record ResponseHead(
        int status,
        @Nullable String requestId,
        boolean notRun,
        boolean intact,
        @Nullable ReportedLoad load,
        boolean closesConnection,
        boolean leaving,
        long pauseMillis) {

    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;

    /**
     * Whether the status is a success.
     *
     * @return true for status 2xx
     */
    public boolean isSuccess() {
        return status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
    }

    /**
     * Whether the response may belong to a request.
     *
     * @param id identifier of the request
     * @return false if the endpoint named another request
     */
    public boolean belongsTo(String id) {
        return requestId == null || requestId.equals(id);
    }
}
