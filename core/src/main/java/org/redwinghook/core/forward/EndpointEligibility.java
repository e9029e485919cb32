package org.redwinghook.core.forward;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Decides to which endpoints a request may go now. All conditions are combined here, so that no path of a request
 * (first attempt, retry, move, queue) misses one of them. Confined to the router's event loop.
 */
public final class EndpointEligibility {

    private final EndpointTable endpoints;
    private final List<EndpointRule> rules = new ArrayList<>();

    /**
     * Creates the decision without additional rules.
     *
     * @param endpoints known endpoints
     */
    public EndpointEligibility(EndpointTable endpoints) {
        this.endpoints = endpoints;
    }

    /**
     * Adds a rule.
     *
     * @param rule the rule, checked after those that were added before
     */
    public void addRule(EndpointRule rule) {
        rules.add(rule);
    }

    /**
     * Endpoints to which a request may go.
     *
     * @param scope the request
     * @param nowMillis current monotonic time
     * @return the endpoints, in no particular order
     */
    public List<KnownEndpoint> eligibleEndpoints(RequestScope scope, long nowMillis) {
        List<KnownEndpoint> eligible = new ArrayList<>();
        for (KnownEndpoint endpoint : endpoints.endpointsOf(scope.service())) {
            if (exclusion(endpoint, scope, nowMillis) == null) {
                eligible.add(endpoint);
            }
        }
        return eligible;
    }

    /**
     * Whether an endpoint may take a request now or soon.
     *
     * @param scope the request
     * @param nowMillis current monotonic time
     * @return false if the request waits in vain unless the endpoints change
     */
    public boolean hasEndpointSoon(RequestScope scope, long nowMillis) {
        for (KnownEndpoint endpoint : endpoints.endpointsOf(scope.service())) {
            Exclusion exclusion = exclusion(endpoint, scope, nowMillis);
            if (exclusion == null || exclusion.isTemporary()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Why a request may not go to an endpoint of its service.
     *
     * @param endpoint the endpoint
     * @param scope the request
     * @param nowMillis current monotonic time
     * @return the first reason, null if the request may go there
     */
    public @Nullable Exclusion exclusion(KnownEndpoint endpoint, RequestScope scope, long nowMillis) {
        if (scope.triedEndpoints().contains(endpoint.entry().id())) {
            return Exclusion.ALREADY_TRIED;
        }
        String requiredVersion = scope.requiredVersion();
        if (requiredVersion != null && !requiredVersion.equals(endpoint.entry().version())) {
            return Exclusion.SOFTWARE_VERSION;
        }
        Exclusion ofTable = endpoints.exclusion(endpoint.entry());
        if (ofTable != null) {
            return ofTable;
        }
        for (EndpointRule rule : rules) {
            Exclusion exclusion = rule.check(endpoint, scope, nowMillis);
            if (exclusion != null) {
                return exclusion;
            }
        }
        return null;
    }
}
