package org.redwinghook.router.peer;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import org.redwinghook.core.membership.MeshPositions;

/** To which other routers a router opens connections. */
public enum MeshTopology {
    /** A few positions in the sorted list; messages that must reach all routers are passed on. */
    POSITIONS {
        @Override
        public List<String> neighbours(Collection<String> routers, String self) {
            return MeshPositions.neighbours(routers, self);
        }
    },
    /**
     * All other routers, for deployments of up to some sixty routers that tell each other their work several times a
     * second; larger ones use positions. The one that sorts first opens the connection; those at the positions are
     * opened from both ends, so that a router connects whose own record the others cannot read.
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

    /** Routers up to which all are connected; the cost for each router grows with their number. */
    public static final int MAXIMUM_FULL_MESH_ROUTERS = 64;

    /**
     * Routers to connect to.
     *
     * @param routers names of the live routers
     * @param self name of the connecting router
     * @return names of other routers
     */
    public abstract List<String> neighbours(Collection<String> routers, String self);
}
