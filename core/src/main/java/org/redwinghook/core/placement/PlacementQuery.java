package org.redwinghook.core.placement;

/**
 * A request that needs an endpoint.
 *
 * @param promptTokens tokens to prefill; 0 for calls
 * @param expectedOutputTokens expected output in tokens; 0 for calls
 */
public record PlacementQuery(long promptTokens, long expectedOutputTokens) {}
