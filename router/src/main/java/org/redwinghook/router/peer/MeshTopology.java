package org.redwinghook.router.peer;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.redwinghook.core.membership.MeshPositions;

/** Selects the other routers to which a router opens connections. */
public enum MeshTopology {
    /** Routers at a few positions in the sorted list; messages that must reach all routers are relayed. */
    POSITIONS {
        @Override
        public List<String> neighbours(Collection<String> routers, String self) {
            return MeshPositions.neighbours(routers, self);
        }
    },
    /**
     * Full mesh for deployments of up to {@link #MAXIMUM_FULL_MESH_ROUTERS} routers that report their work to each
     * other several times a second; larger deployments use positions. Of two routers, the one whose name sorts first
     * opens the connection. Connections to routers at the positions are opened regardless of the order, so that a
     * router whose record the others cannot read still connects.
     */
    ALL {
        @Override
        public List<String> neighbours(Collection<String> routers, String self) {
            List<String> positions = POSITIONS.neighbours(routers, self);
            if (routers.size() > MAXIMUM_FULL_MESH_ROUTERS) {
                return positions;
            }
            Set<String> neighbours = new LinkedHashSet<>(positions);
            for (String router : routers) {
                if (router.compareTo(self) > 0) {
                    neighbours.add(router);
                }
            }
            return List.copyOf(neighbours);
        }
    };

    /** Maximum number of routers in a full mesh; the cost for each router grows with their number. */
    public static final int MAXIMUM_FULL_MESH_ROUTERS = 64;

    /**
     * Selects the routers to connect to.
     *
     * @param routers names of the live routers
     * @param self name of the connecting router
     * @return names of the other routers to connect to
     */
    public abstract List<String> neighbours(Collection<String> routers, String self);
}
