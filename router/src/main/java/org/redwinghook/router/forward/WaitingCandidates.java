package org.redwinghook.router.forward;

import java.util.List;
import java.util.Set;
import java.util.function.Function;
import java.util.function.IntSupplier;

import org.redwinghook.core.dispatch.CandidateSource;
import org.redwinghook.core.dispatch.DispatchRequest;
import org.redwinghook.core.placement.Candidate;

/**
 * Endpoints that requests without an endpoint may be sent to.
 *
 * @param selector decides where a request may go
 * @param routerCount number of routers
 * @param callers finds the caller of a request
 */
record WaitingCandidates(
        ForwardSelector selector, IntSupplier routerCount, Function<DispatchRequest, CallerExchange> callers)
        implements CandidateSource {

    @Override
    public List<Candidate> candidates(DispatchRequest request) {
        return selector.candidates(callers.apply(request), Set.of());
    }

    @Override
    public int endpointsOfUrgentRequests(DispatchRequest request, List<Candidate> candidates) {
        CallerExchange caller = callers.apply(request);
        return caller.requiredVersion() == null ? candidates.size() : selector.countEndpointsOfAllVersions(caller);
    }

    @Override
    public List<Candidate> sample(List<Candidate> candidates) {
        return selector.sample(candidates);
    }

    @Override
    public int routers() {
        return Math.max(1, routerCount.getAsInt());
    }
}
