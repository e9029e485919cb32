package org.redwinghook.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.routing.RendezvousHash;

/**
 * Endpoints of the new version that take part in a trial. They are few, so that each carries the load of an endpoint of
 * the old version: a version that fails under load has to fail during the trial. All routers choose the same ones, and
 * others in each round, so that no single machine decides about the version.
 *
 * @param members identifiers of the endpoints
 * @param equalShare share of the requests at which each of them has the load of an endpoint of the old version
 */
public record TrialGroup(Set<String> members, double equalShare) {

    /** Endpoints that take part at least, so that a slow machine is not taken for a slow version. */
    private static final int MINIMUM_MEMBERS = 2;

    /**
     * Chooses the endpoints: in each data centre as many as the share needs, and at least one there, since a route may be
     * restricted to a region.
     *
     * @param newEndpoints usable endpoints of the new version
     * @param oldEndpoints usable endpoints of the other versions
     * @param share share of the requests that the new version is to receive
     * @param round number of the round
     * @return the endpoints
     */
    public static TrialGroup of(
            List<EndpointEntry> newEndpoints, List<EndpointEntry> oldEndpoints, double share, long round) {
        Map<String, Integer> oldCounts = new HashMap<>();
        oldEndpoints.forEach(entry -> oldCounts.merge(entry.dataCentre(), 1, Integer::sum));
        Map<String, List<String>> newIds = new HashMap<>();
        newEndpoints.forEach(entry -> newIds.computeIfAbsent(entry.dataCentre(), name -> new ArrayList<>())
                .add(entry.id()));
        int minimum = Math.max(1, MINIMUM_MEMBERS / Math.max(1, newIds.size()));
        Set<String> members = new HashSet<>();
        newIds.forEach((dataCentre, ids) -> {
            ids.sort(Comparator.comparing(id -> RendezvousHash.score(0, id)));
            double wanted = oldCounts.getOrDefault(dataCentre, 0) * share / Math.max(1 - share, share);
            int size = (int) Math.min(ids.size(), Math.max(minimum, Math.round(wanted)));
            for (int index = 0; index < size; index++) {
                members.add(ids.get((int) ((round * size + index) % ids.size())));
            }
        });
        double all = members.size() + (double) oldEndpoints.size();
        return new TrialGroup(members, all == 0 ? 0 : members.size() / all);
    }
}
