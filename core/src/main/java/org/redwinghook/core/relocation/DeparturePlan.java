package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;

/**
 * Plan of the copies from an engine that leaves. Every router computes it from the pending copies of all of them and finds
 * its own slots in it. Load: five to seven routers with one or two runs each, whose copies take most of the notice or more,
 * and reports of other routers that are 30 to 100 ms old.
 *
 * <p>The link serves one copy after the other, so slots do not overlap. A slot follows the expected end of the one before
 * it, not the confirmation that its run continues elsewhere: the link would be idle meanwhile.
 *
 * @param slots the slots in the order of their times
 */
public record DeparturePlan(List<Slot> slots) {

    /** Time between the copies of two runs, in milliseconds, in which the first run is stopped before the next copy begins. */
    public static final long HANDOVER_MILLIS = 15;

    /** Time of a copy to another data centre as a multiple of that within one. */
    public static final long CROSS_DATA_CENTRE_FACTOR = 2;

    /** Time for the final copy of a stopped run, in milliseconds: a call and a few tokens. */
    private static final long FINAL_COPY_MILLIS = 60;

    /**
     * Time for which a router may leave the link idle in its slot, in milliseconds, until the next one goes first: the
     * maximum age of its report and the usual difference in the arrival of the notice.
     */
    private static final long SILENCE_MILLIS = 160;

    public DeparturePlan {
        slots = List.copyOf(slots);
    }

    /**
     * Time of a copy.
     *
     * @param router router that makes the copy
     * @param startMillis time at which it begins
     * @param endMillis time at which it is complete
     */
    public record Slot(String router, double startMillis, double endMillis) {}

    /**
     * Plans the pending copies.
     *
     * @param pending pending copies of the routers
     * @param memory memory and link of the engine
     * @param times times of the departure
     * @return the plan; if the engine's end is known, without copies that do not complete before it
     */
    public static DeparturePlan of(List<PendingCopies> pending, EngineMemory memory, DepartureTimes times) {
        List<Slot> slots = new ArrayList<>();
        List<Copy> late = new ArrayList<>();
        double startMillis = Math.max(times.nowMillis(), times.linkFreeMillis());
        for (Copy copy : order(pending, memory, times)) {
            if (startMillis + copy.millis() + FINAL_COPY_MILLIS > times.endMillis()) {
                // Copies that can no longer complete leave the link to shorter ones.
                late.add(copy);
                continue;
            }
            slots.add(new Slot(copy.router(), startMillis, startMillis + copy.millis()));
            startMillis += copy.millis() + HANDOVER_MILLIS;
        }
        if (!times.isEndKnown()) {
            // The engine may serve for longer than its shortest notice.
            for (Copy copy : late) {
                slots.add(new Slot(copy.router(), startMillis, startMillis + copy.millis()));
                startMillis += copy.millis() + HANDOVER_MILLIS;
            }
        }
        return new DeparturePlan(slots);
    }

    private record Copy(String router, double millis) {}

    /** Copies in the order of the routers' names; those of routers that did not use the idle link follow the others. */
    private static List<Copy> order(List<PendingCopies> pending, EngineMemory memory, DepartureTimes times) {
        List<PendingCopies> routers = new ArrayList<>(pending);
        routers.removeIf(copies -> copies.runs() == 0);
        routers.sort(Comparator.comparing(PendingCopies::router));
        long idleMillis = Math.max(0, times.nowMillis() - times.linkFreeMillis());
        Collections.rotate(routers, (int) -(idleMillis / SILENCE_MILLIS));
        List<Copy> ordered = new ArrayList<>();
        for (PendingCopies copies : routers) {
            Copy copy = new Copy(copies.router(), memory.copyMillis(copies.tokensPerRun()));
            ordered.addAll(Collections.nCopies(copies.runs(), copy));
        }
        return ordered;
    }

    /**
     * Time at which a router may begin its next copy.
     *
     * @param router name of the router
     * @return the time, infinite if none of its copies can complete
     */
    public double startMillis(String router) {
        for (Slot slot : slots) {
            if (slot.router().equals(router)) {
                return slot.startMillis();
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
