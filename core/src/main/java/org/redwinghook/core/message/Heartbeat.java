package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Sent on an idle connection, so that the peer can distinguish a stalled connection from an idle one.
 *
 * @param configurationOffset offset through which the process has folded the configuration
 * @param load load of the endpoint, absent from routers
 */
public record Heartbeat(long configurationOffset, @Nullable EndpointLoad load) implements Message {}
