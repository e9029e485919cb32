package org.redwinghook.core.message;

/**
 * Confirms to a sidecar that the router knows that the endpoint takes no new work. No submit follows it on the
 * connection until the sidecar reports otherwise.
 *
 * @param runningExchanges number of exchanges of the connection that have not ended
 */
public record LeavingAcknowledgement(int runningExchanges) implements Message {}
