package org.redwinghook.core.rollout;

import java.util.List;
import java.util.Objects;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;
import org.jspecify.annotations.Nullable;

/**
 * What one router knows of a roll-out. All counters are totals since the order, so reports may be lost, repeated and
 * reordered.
 *
 * @param router name of the router
 * @param incarnation start of the router, which distinguishes its counters from those before a restart
 * @param sequence number of the report; a higher one replaces a lower one
 * @param elapsedMillis time since the order, in milliseconds
 * @param exposed attempts at endpoints of the new version
 * @param usesOldVersion whether a request runs or waits at an endpoint of an old version, or may still be sent there
 * @param usesNewVersion whether a request runs at an endpoint of the new version
 * @param isProven whether the version was in use before an order that this one replaces, so that it needs no trial
 * @param badBecause why the version is bad, null unless the router has found that or heard of it
 * @param state state that the router has seen in the store, null if there is none
 * @param routes evidence by route
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RouterEvidence(
        String router,
        long incarnation,
        long sequence,
        long elapsedMillis,
        long exposed,
        boolean usesOldVersion,
        boolean usesNewVersion,
        boolean isProven,
        @Nullable String badBecause,
        @Nullable RolloutState state,
        List<RouteEvidence> routes) {

    public RouterEvidence {
        Objects.requireNonNull(router);
        routes = List.copyOf(routes);
    }

    /**
     * Requests of callers on all routes.
     *
     * @return the number
     */
    @JsonIgnore
    public long requests() {
        return routes.stream().mapToLong(RouteEvidence::requests).sum();
    }
}
