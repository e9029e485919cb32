package org.redwinghook.core.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.TreeSet;

/**
 * Chooses the routers to which a router connects: positions +1, +2, +4, … after its own in the sorted list. A relayed
 * message reaches each of n routers in at most log2(n) hops, rounded up.
 */
public final class MeshPositions {

    private MeshPositions() {}

    /**
     * Routers to connect to.
     *
     * @param routers names of the live routers, in any order
     * @param self name of the connecting router; counts as live even if it is not in the list yet
     * @return names of other routers, each once
     */
    public static List<String> neighbours(Collection<String> routers, String self) {
        TreeSet<String> sorted = new TreeSet<>(routers);
        sorted.add(self);
        List<String> positions = List.copyOf(sorted);
        int own = positions.indexOf(self);
        List<String> neighbours = new ArrayList<>();
        for (int distance = 1; distance < positions.size(); distance *= 2) {
            neighbours.add(positions.get((own + distance) % positions.size()));
        }
        return neighbours;
    }
}
