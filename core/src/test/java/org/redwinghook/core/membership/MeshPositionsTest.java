package org.redwinghook.core.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class MeshPositionsTest {

    /** A report, its relay and a question to the neighbours. */
    private static final int RELAYED_REPORT_AND_QUESTION_HOPS = 3;

    /**
     * Guards against routers that an announcement does not reach, or reaches only in more hops than log2 of the number
     * of routers.
     */
    @Test
    public void everyRouterIsReachedInALogarithmicNumberOfHops() {
        for (int size : List.of(1, 2, 3, 5, 8, 100, 360)) {
            List<String> routers = new ArrayList<>();
            for (int index = 0; index < size; index++) {
                routers.add("router-" + index);
            }
            Set<String> reached = new HashSet<>(Set.of("router-0"));
            int hops = 0;
            while (reached.size() < size) {
                for (String router : List.copyOf(reached)) {
                    reached.addAll(MeshPositions.neighbours(routers, router));
                }
                hops++;
                assertTrue(hops <= 9, size + " routers need more than 9 hops");
            }
            assertTrue(hops <= 8 || size > 256, size + " routers took " + hops + " hops");
        }
    }

    /** Guards against a router that connects to itself or twice to another one. */
    @Test
    public void neighboursAreDistinctAndOthers() {
        assertEquals(MeshPositions.neighbours(List.of("a"), "a"), List.of());
        assertEquals(MeshPositions.neighbours(List.of("b"), "a"), List.of("b"));
        assertEquals(MeshPositions.neighbours(List.of("a", "b", "c", "d", "e"), "d"), List.of("e", "a", "c"));
    }

    /**
     * Guards against streams that a router of a large deployment can find only if they began near it: of the streams that
     * callers resume, more than half have to go on.
     */
    @Test
    public void mostReportsThatAreRelayedOnceReachANeighbourOfAnyRouter() {
        for (int size = 65; size <= 360; size++) {
            List<String> routers = new ArrayList<>();
            for (int index = 0; index < size; index++) {
                routers.add("router-" + index);
            }
            Map<String, Set<String>> connected = new HashMap<>();
            for (String router : routers) {
                for (String neighbour : MeshPositions.neighbours(routers, router)) {
                    connected.computeIfAbsent(router, key -> new HashSet<>()).add(neighbour);
                    connected.computeIfAbsent(neighbour, key -> new HashSet<>()).add(router);
                }
            }
            Set<String> known = new HashSet<>(Set.of("router-0"));
            for (int hop = 1; hop <= RELAYED_REPORT_AND_QUESTION_HOPS; hop++) {
                List.copyOf(known).forEach(router -> known.addAll(connected.get(router)));
            }
            assertTrue(2 * known.size() > size, known.size() + " of " + size + " routers");
        }
    }
}
