package org.redwinghook.core.placement;

/**
 * Expected course of a request at an endpoint.
 *
 * @param firstResultMillis expected time until the first event of a generation or the response of a call
 * @param completionMillis expected time until the end of the response
 * @param overflowTokens tokens by which the request would exceed the usable memory of the engine, 0 if it fits
 */
public record DelayEstimate(double firstResultMillis, double completionMillis, double overflowTokens) {}
