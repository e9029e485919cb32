package org.redwinghook.core.message;

/**
 * Informs a sidecar that the router no longer needs the results of an exchange.
 *
 * @param exchange exchange to end
 * @param callerGone whether the caller disconnected, so that the generation may be cancelled after the resume window
 */
public record Cancel(long exchange, boolean callerGone) implements Message {}
