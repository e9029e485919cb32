package org.redwinghook.core.forward;

/**
 * A service that receives a part of a route's requests.
 *
 * @param service name of the service
 * @param weight its part, relative to the other services of the route
 */
public record WeightedService(String service, double weight) {}
