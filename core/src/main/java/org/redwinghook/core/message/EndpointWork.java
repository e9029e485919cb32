package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Work that a router has in progress at an endpoint.
 *
 * @param endpoint identifier of the endpoint
 * @param running requests that were sent and have not ended
 * @param waitingTokens prompt tokens of generations that have not produced a token yet
 * @param residentTokens memory that the generations are expected to need at their end, in tokens
 * @param heldTokens memory that the generations hold now, in tokens
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record EndpointWork(String endpoint, int running, long waitingTokens, long residentTokens, long heldTokens) {}
