package org.redwinghook.router.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.redwinghook.core.membership.MeshPositions;

/** To which other routers a router opens connections. */
public enum MeshShape {
    /** A few positions in the sorted list; messages that must reach all routers are passed on. */
    POSITIONS {
        @Override
        public List<String> neighbours(Collection<String> routers, String self) {
            return MeshPositions.neighbours(routers, self);
        }
    },
    /**
     * One connection between each two routers, for deployments of up to some sixty routers that tell each other their
     * work several times a second; larger ones use positions.
     */
    ALL {
        @Override
        public List<String> neighbours(Collection<String> routers, String self) {
            if (routers.size() > MOST_CONNECTED) {
                return POSITIONS.neighbours(routers, self);
            }
            List<String> later = new ArrayList<>();
            for (String router : routers) {
                if (router.compareTo(self) > 0) {
                    later.add(router);
                }
            }
            return later;
        }
    };

    /** Routers up to which all are connected; the cost for each router grows with their number. */
    private static final int MOST_CONNECTED = 64;

    /**
     * Routers to connect to.
     *
     * @param routers names of the live routers
     * @param self name of the connecting router
     * @return names of other routers
     */
    public abstract List<String> neighbours(Collection<String> routers, String self);
}
