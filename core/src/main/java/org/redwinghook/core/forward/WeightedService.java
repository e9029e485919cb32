package org.redwinghook.core.forward;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service name of the service
 * @param weight its share, relative to the weights of the route's other services
 */
public record WeightedService(String service, double weight) {}
