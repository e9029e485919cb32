package org.redwinghook.core.placement;

/**
 * A request that needs an endpoint.
 *
 * @param promptTokens tokens to read; 0 for calls
 * @param expectedOutputTokens output expected; 0 for calls
 */
public record PlacementQuery(long promptTokens, long expectedOutputTokens) {}
