package org.redwinghook.core.engine;

import java.util.Collection;
import java.util.Comparator;
import java.util.OptionalInt;
import java.util.TreeSet;

import org.redwinghook.core.config.DesiredEngine;
import org.redwinghook.core.routing.RendezvousHash;

/**
 * Spreads the weight loads of a region over time in the rendezvous order of its endpoints, without a distributed lock.
 */
public final class LoadSchedule {

    private LoadSchedule() {}

    /**
     * Rank of an endpoint in the order of loads. The order depends on the desired state and not on its fencing number,
     * since an unrelated configuration change during the loads would otherwise reorder the endpoints.
     *
     * @param service name of the service
     * @param desired desired state
     * @param endpoints live endpoints of the service in the region
     * @param self name of the endpoint
     * @return the rank from 0; empty if the endpoint is not among the live ones
     */
    public static OptionalInt rank(String service, DesiredEngine desired, Collection<String> endpoints, String self) {
        TreeSet<String> live = new TreeSet<>(endpoints);
        if (!live.contains(self)) {
            return OptionalInt.empty();
        }
        long key = RendezvousHash.hash(service + ' ' + desired);
        Comparator<String> order = Comparator.comparingLong((String name) -> RendezvousHash.score(key, name))
                .thenComparing(name -> name);
        return OptionalInt.of((int)
                live.stream().filter(name -> order.compare(name, self) > 0).count());
    }

    /**
     * Whether an endpoint may start its weight load.
     *
     * @param rank rank of the endpoint
     * @param concurrentLoads maximum number of endpoints in the region that load concurrently
     * @param waitedMillis time for which the endpoint has needed the load
     * @param slotMillis duration of the slot of each group of endpoints
     * @return true from the start of its group's slot
     */
    public static boolean mayLoad(int rank, int concurrentLoads, long waitedMillis, long slotMillis) {
        return waitedMillis / slotMillis >= rank / concurrentLoads;
    }
}
