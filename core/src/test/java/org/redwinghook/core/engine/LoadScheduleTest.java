package org.redwinghook.core.engine;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.redwinghook.core.config.DesiredEngine;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class LoadScheduleTest {

    private static final int ENDPOINTS = 40;
    private static final int CONCURRENT_LOADS = 2;
    private static final DesiredEngine DESIRED = new DesiredEngine("", "2", List.of(), "", false);

    /**
     * Guards against all endpoints of a region loading at once while VMs come and go: each slot starts at most the
     * limit and one more endpoint whose rank moved up because a VM departed.
     */
    @Test
    public void membershipChangesNeverStartAllLoadsAtOnce() {
        for (long seed = 0; seed < 300; seed++) {
            Random random = new Random(seed);
            List<String> live = new ArrayList<>(
                    IntStream.range(0, ENDPOINTS).mapToObj(vm -> "vm" + vm).toList());
            Set<String> loaded = new HashSet<>();
            int departed = 0;
            for (int slot = 0; slot < ENDPOINTS; slot++) {
                if (random.nextBoolean()) {
                    loaded.remove(live.remove(random.nextInt(live.size())));
                    departed++;
                }
                if (random.nextInt(4) == 0) {
                    live.add("new" + slot);
                }
                int now = slot;
                List<String> starting = live.stream()
                        .filter(vm -> !loaded.contains(vm))
                        .filter(vm -> LoadSchedule.mayLoad(
                                LoadSchedule.rank("s", DESIRED, live, vm).getAsInt(), CONCURRENT_LOADS, now, 1))
                        .toList();
                loaded.addAll(starting);
                assertTrue(starting.size() <= CONCURRENT_LOADS + 1, "seed " + seed + " slot " + slot + ": " + starting);
            }
            assertTrue(loaded.containsAll(live), "seed " + seed + " after " + departed + " departures");
        }
    }

    /** Guards against an endpoint that is missing from an outdated list getting the first rank. */
    @Test
    public void unlistedEndpointWaits() {
        assertEquals(LoadSchedule.rank("s", DESIRED, List.of("a", "b"), "c"), OptionalInt.empty());
        assertEquals(LoadSchedule.rank("s", DESIRED, List.of(), "c"), OptionalInt.empty());
    }
}
