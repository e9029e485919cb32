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
 * @param responseTimes times to the responses, or to their first events, at the old version
 * @param gapTimes mean times between the events of responses of the old version
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RouteEvidence(
        String route,
        long requests,
        VersionCounts oldVersion,
        VersionCounts newVersion,
        long longestRunMillis,
        TimeSum responseTimes,
        TimeSum gapTimes) {

    public RouteEvidence {
        Objects.requireNonNull(route);
        Objects.requireNonNull(oldVersion);
        Objects.requireNonNull(newVersion);
        Objects.requireNonNull(responseTimes);
        Objects.requireNonNull(gapTimes);
    }

    /** Compares with the old version's responses of a longer time, unless those of this time are worse. */
    RouteEvidence comparedWith(RouteEvidence longer) {
        VersionCounts all = longer.oldVersion;
        boolean isWorse = oldVersion.bad() * all.ended() > all.bad() * oldVersion.ended();
        return new RouteEvidence(
                route, requests, isWorse ? oldVersion : all, newVersion, longestRunMillis, responseTimes, gapTimes);
    }

    /** Responses of both versions since an earlier state. */
    RouteEvidence since(RouteEvidence earlier) {
        return new RouteEvidence(
                route,
                requests - earlier.requests,
                oldVersion.minus(earlier.oldVersion),
                newVersion.minus(earlier.newVersion),
                longestRunMillis,
                responseTimes,
                gapTimes);
    }

    /** Adds the evidence of another router. */
    RouteEvidence plus(RouteEvidence other) {
        return new RouteEvidence(
                route,
                requests + other.requests,
                oldVersion.plus(other.oldVersion),
                newVersion.plus(other.newVersion),
                Math.max(longestRunMillis, other.longestRunMillis),
                responseTimes.plus(other.responseTimes),
                gapTimes.plus(other.gapTimes));
    }
}
