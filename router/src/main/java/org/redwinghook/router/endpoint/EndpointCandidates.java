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
    private final int mostAttempts;
    private final Set<String> tried = new HashSet<>();
    private int attempts;

    /**
     * Counts a new request that has not tried an endpoint.
     *
     * @param context what all deliveries share
     * @param service service of the request
     * @param query how to select an endpoint
     * @param mostAttempts attempts allowed
     */
    public EndpointCandidates(DeliveryContext context, String service, RoutingQuery query, int mostAttempts) {
        this.context = context;
        this.service = service;
        this.query = query;
        this.mostAttempts = mostAttempts;
        context.retries().requestStarted();
    }

    /**
     * Selects the next endpoint.
     *
     * @return its connection, empty if attempts, retries or endpoints are used up
     */
    public Optional<EndpointConnection> next() {
        while (attempts < mostAttempts) {
            RoutingQuery next = new RoutingQuery(query.affinityHash(), query.pinned(), query.promptTokens(), tried);
            Optional<EndpointView> chosen =
                    context.selector().select(context.directory().views(service), next);
            if (chosen.isEmpty() || (attempts > 0 && !context.retries().tryRetry(attempts))) {
                return Optional.empty();
            }
            if (attempts > 0) {
                context.metrics().retried();
            }
            attempts++;
            tried.add(chosen.get().vm());
            Optional<EndpointConnection> connection =
                    context.directory().connection(chosen.get().vm());
            if (connection.isPresent()) {
                return connection;
            }
        }
        return Optional.empty();
    }
}
