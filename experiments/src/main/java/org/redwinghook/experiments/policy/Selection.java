package org.redwinghook.experiments.policy;

import java.util.List;
import java.util.Optional;

import org.redwinghook.core.routing.EndpointView;
import org.redwinghook.core.routing.RoutingQuery;

/** Strategy by which a router selects an endpoint. */
interface Selection {

    Optional<EndpointView> select(List<EndpointView> endpoints, RoutingQuery query);
}
