package org.redwinghook.router.endpoint;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.redwinghook.core.routing.EndpointView;
import org.redwinghook.core.routing.RoutingQuery;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Selects the endpoints that a request tries in turn, limited by its attempts and by the retry budget. */
public final class EndpointCandidates {

    private static final Logger LOGGER = LoggerFactory.getLogger(EndpointCandidates.class);

    private final DeliveryContext context;
    private final String service;
    private final RoutingQuery query;
    private final int maximumAttempts;
    private final Set<String> triedVms = new HashSet<>();
    private int attempts;

    /**
     * Creates the candidates of a new request and counts the request in the retry budget.
     *
     * @param context dependencies shared by all deliveries
     * @param service name of the requested service
     * @param query criteria for the selection of an endpoint
     * @param maximumAttempts maximum number of attempts
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
     * @return its connection, empty if no attempt, retry or endpoint is left
     */
    public Optional<EndpointConnection> next() {
        while (attempts < maximumAttempts) {
            RoutingQuery nextQuery =
                    new RoutingQuery(query.affinityHash(), query.pinned(), query.promptTokens(), triedVms);
            Optional<EndpointView> selected =
                    context.selector().select(context.directory().views(service), nextQuery);
            if (selected.isEmpty()) {
                LOGGER.debug("no endpoint left service={} attempts={} tried={}", service, attempts, triedVms);
                return Optional.empty();
            }
            if (attempts > 0 && !context.retries().tryRetry(attempts)) {
                LOGGER.debug("retry budget exhausted service={} attempts={} tried={}", service, attempts, triedVms);
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
