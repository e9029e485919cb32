package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.Distance;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;

/**
 * Chooses the engine to which a run moves. Load: four engines leave at the same time, and a copy also occupies the link of
 * its destination. Copies under way count as work of their destinations, and each leaving engine prefers other
 * destinations, since the first copies of all of them begin before any is reported.
 */
public final class DestinationChoice {

    /** Cost of a destination that another leaving engine prefers, in milliseconds: a copy of typical size. */
    private static final double OTHER_LANE_MILLIS = 190;

    private DestinationChoice() {}

    /**
     * Chooses a destination.
     *
     * @param candidates engines that may take the run, with distances from the leaving engine
     * @param query size of the run
     * @param source identifier of the leaving engine
     * @param leaving identifiers of the engines that leave in its data centre
     * @return the destination, in the same data centre while it has room there, empty if no copy would arrive
     */
    public static Optional<Candidate> choose(
            Collection<Candidate> candidates, PlacementQuery query, String source, Collection<String> leaving) {
        List<Candidate> considered = new ArrayList<>();
        for (Candidate candidate : candidates) {
            if (candidate.distance() == Distance.LOCAL && hasRoom(candidate, query)) {
                considered.add(candidate);
            }
        }
        if (considered.isEmpty()) {
            considered.addAll(candidates);
        }
        considered.sort(Comparator.comparing(Candidate::id));
        List<String> sources = leaving.stream().sorted().toList();
        int lane = Math.max(0, sources.indexOf(source));
        Candidate best = null;
        double lowestCost = Double.POSITIVE_INFINITY;
        for (int index = 0; index < considered.size(); index++) {
            boolean isOwnLane = index % Math.max(1, sources.size()) == lane;
            double cost = PlacementPolicy.MOVED_RUN.costMillis(considered.get(index), query)
                    + (isOwnLane ? 0 : OTHER_LANE_MILLIS);
            if (cost < lowestCost) {
                lowestCost = cost;
                best = considered.get(index);
            }
        }
        return Optional.ofNullable(best);
    }

    private static boolean hasRoom(Candidate candidate, PlacementQuery query) {
        return PlacementPolicy.MOVED_RUN.estimate(candidate, query).overflowTokens() <= 0;
    }
}
