package org.redwinghook.core.dispatch;

import org.redwinghook.core.placement.PlacementQuery;

/**
 * More urgent generations that are expected at one engine.
 *
 * @param typical a typical one
 * @param objectiveMillis time to the first event that its callers expect, in milliseconds; infinite if none is expected
 * @param tokens memory that they need at the engine, in tokens
 */
public record ExpectedDemand(PlacementQuery typical, double objectiveMillis, long tokens) {

    /** No more urgent generations. */
    public static final ExpectedDemand NONE = new ExpectedDemand(new PlacementQuery(0, 0), Double.POSITIVE_INFINITY, 0);
}
