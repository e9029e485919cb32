package org.redwinghook.core.admission;

import org.redwinghook.core.length.OutputQuery;

/**
 * A request that is offered to an endpoint.
 *
 * @param identifier number of the request at this sidecar, never used twice
 * @param owner owner of the customer
 * @param customer customer that the request is for
 * @param priority lower numbers go first
 * @param promptTokens prompt length in tokens; 0 for calls
 * @param maximumOutputTokens maximum output in tokens; 0 for calls
 * @param arrivalMillis time of arrival
 * @param deadlineMillis time after which the caller no longer waits for the request to start
 */
public record WorkItem(
        long identifier,
        String owner,
        String customer,
        int priority,
        int promptTokens,
        int maximumOutputTokens,
        long arrivalMillis,
        long deadlineMillis) {

    /**
     * Query for the request's output length.
     *
     * @return the query
     */
    public OutputQuery output() {
        return new OutputQuery(identifier, customer, maximumOutputTokens);
    }
}
