package org.redwinghook.router.endpoint;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.redwinghook.core.routing.EndpointView;
import org.redwinghook.core.routing.RoutingQuery;

/** Endpoints that one request may try, one after the other, within its attempts and the retry budget. */
public final class EndpointCandidates {

    private final DeliveryContext context;
    private final String service;
    private final RoutingQuery query;
    private final int maximumAttempts;
    private final Set<String> triedVms = new HashSet<>();
    private int attempts;

    /**
     * Counts a new request that has not tried an endpoint.
     *
     * @param context what all deliveries share
     * @param service service of the request
     * @param query how to select an endpoint
     * @param maximumAttempts attempts allowed
     */
    public EndpointCandidates(DeliveryContext context, String service, RoutingQuery query, int maximumAttempts) {
        this.context = context;
        this.service = service;
        this.query = query;
        this.maximumAttempts = maximumAttempts;
        context.retries().requestStarted();
    }

    /**
     * Selects the next endpoint.
     *
     * @return its connection, empty if attempts, retries or endpoints are used up
     */
    public Optional<EndpointConnection> next() {
        while (attempts < maximumAttempts) {
            RoutingQuery nextQuery =
                    new RoutingQuery(query.affinityHash(), query.pinned(), query.promptTokens(), triedVms);
            Optional<EndpointView> selected =
                    context.selector().select(context.directory().views(service), nextQuery);
            if (selected.isEmpty() || (attempts > 0 && !context.retries().tryRetry(attempts))) {
                return Optional.empty();
            }
            if (attempts > 0) {
                context.metrics().recordRetry();
            }
            attempts++;
            triedVms.add(selected.get().vm());
            Optional<EndpointConnection> connection =
                    context.directory().connection(selected.get().vm());
            if (connection.isPresent()) {
                return connection;
            }
        }
        return Optional.empty();
    }
}
