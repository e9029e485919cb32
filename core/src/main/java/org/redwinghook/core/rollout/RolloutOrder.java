package org.redwinghook.core.rollout;

/**
 * An operator's order to move the traffic of a service to another version.
 *
 * @param service name of the service
 * @param to version that is to receive the traffic
 * @param durationMillis time from the order in which the roll-out has to end, in milliseconds
 * @param offset offset of the order's record, which orders the orders of a service
 */
public record RolloutOrder(String service, String to, long durationMillis, long offset) {}
