package org.redwinghook.core.length;

/**
 * A generation whose output length is estimated.
 *
 * @param identifier number of the request at this sidecar
 * @param customer customer that requested it
 * @param maximumOutputTokens tokens after which the engine stops
 */
public record OutputQuery(long identifier, String customer, int maximumOutputTokens) {}
