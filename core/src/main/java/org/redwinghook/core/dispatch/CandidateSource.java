package org.redwinghook.core.dispatch;

import java.util.List;

import org.redwinghook.core.placement.Candidate;

/** Supplies the endpoints that requests may be sent to. */
public interface CandidateSource {

    /**
     * Endpoints that may receive a request now, with all work that is known, including that of requests just sent.
     *
     * @param request the request
     * @return the endpoints, whether they have capacity or not
     */
    List<Candidate> candidates(DispatchRequest request);

    /**
     * Number of endpoints among which the more urgent requests of the queue are spread. A request that continues a stream may
     * go to few of them, which do not receive all urgent requests.
     *
     * @param request the request
     * @param candidates endpoints that may receive it now
     * @return the number
     */
    default int endpointsOfUrgentRequests(DispatchRequest request, List<Candidate> candidates) {
        return candidates.size();
    }

    /**
     * Reduces endpoints to those that this router prefers, so that many routers do not all choose the same one.
     *
     * @param candidates the endpoints
     * @return some or all of them
     */
    List<Candidate> sample(List<Candidate> candidates);

    /**
     * Number of routers that send requests to the endpoints.
     *
     * @return the number, at least 1
     */
    int routers();
}
