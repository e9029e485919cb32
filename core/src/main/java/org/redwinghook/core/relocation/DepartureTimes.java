package org.redwinghook.core.relocation;

/**
 * Times of a departure, in milliseconds of a monotonic clock.
 *
 * @param nowMillis current time
 * @param linkFreeMillis time at which the engine's link has completed the copies that have begun, or had completed the last one
 * @param endMillis time at which the engine ends
 * @param isEndKnown whether the engine reported its end; otherwise it is the shortest that a notice allows
 */
public record DepartureTimes(long nowMillis, long linkFreeMillis, long endMillis, boolean isEndKnown) {}
