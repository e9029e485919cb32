package org.redwinghook.core.rollout;

import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Evidence about a version on one route, counted since the order.
 *
 * @param route name of the route
 * @param requests requests of callers
 * @param oldVersion responses of the versions in use
 * @param newVersion responses of the version on trial
 * @param longestRunMillis longest run at the old version, in milliseconds; 0 if none has ended
 * @param typicalMillis typical time to the response, or to the first event, at the old version; 0 if not known
 * @param typicalGapMillis typical time between events at the old version; 0 if not known
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RouteEvidence(
        String route,
        long requests,
        VersionCounts oldVersion,
        VersionCounts newVersion,
        long longestRunMillis,
        double typicalMillis,
        double typicalGapMillis) {

    public RouteEvidence {
        Objects.requireNonNull(route);
        Objects.requireNonNull(oldVersion);
        Objects.requireNonNull(newVersion);
    }

    /** Adds the counts of another router; typical times are not additive and are dropped. */
    RouteEvidence plus(RouteEvidence other) {
        return new RouteEvidence(
                route,
                requests + other.requests,
                oldVersion.plus(other.oldVersion),
                newVersion.plus(other.newVersion),
                Math.max(longestRunMillis, other.longestRunMillis),
                0,
                0);
    }
}
