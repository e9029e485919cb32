package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;

/**
 * Orders the runs of an engine that leaves. Answers departures at short notice, with more runs than the engine's link
 * can copy: runs that will not end in time go first, those with the shortest copy before the others, as each moved run
 * saves about the same. Runs that are expected to end in time follow, since the estimate may be too short.
 */
public final class MoveOrder {

    /** Part of the notice in which a run is trusted to end by itself; the estimate of its length may be too short. */
    private static final double TRUSTED_SHARE = 0.5;

    /** Time for stopping the runs of the routers before, in milliseconds: several trips between regions. */
    private static final double STOPPING_MILLIS = 300;

    /** How much longer copies take than the link allows: some go to other data centres, for twice the time. */
    private static final double SLOWER_COPY_FACTOR = 1.3;

    private MoveOrder() {}

    /**
     * Orders runs for moving one after another.
     *
     * @param runs the engine's runs
     * @param memory memory of the engine
     * @param noticeMillis time until the engine is gone
     * @return runs to move, first to last; runs that may start anew elsewhere are not among them
     */
    public static List<RunAtEngine> order(List<RunAtEngine> runs, EngineMemory memory, double noticeMillis) {
        List<RunAtEngine> moving = new ArrayList<>();
        for (RunAtEngine run : runs) {
            if (!run.resumable()) {
                moving.add(run);
            }
        }
        moving.sort(Comparator.comparing((RunAtEngine run) -> run.remainingMillis() <= noticeMillis * TRUSTED_SHARE)
                .thenComparingDouble(run -> memory.copyMillis(run.residentTokens()))
                .thenComparing(RunAtEngine::requestId));
        return moving;
    }

    /**
     * Whether a router may copy its runs. Routers take turns, so that a copy that stops its run does not queue behind
     * another router's whole copy on the engine's link. A turn that does not come in time, as copies of the routers before
     * are slower than expected, is taken when their runs should have been copied: the routers that wait do not all start
     * at once, since then none of their copies would be complete in time.
     *
     * @param earlierTokens memory at the engine that routers before this one have not moved yet
     * @param noticedTokens memory at the engine of the routers before this one when the notice came
     * @param memory memory of the engine
     * @param waitedMillis time since the engine's notice
     * @return true once the others are done or should be
     */
    public static boolean mayStart(long earlierTokens, long noticedTokens, EngineMemory memory, double waitedMillis) {
        double expectedMillis = STOPPING_MILLIS + memory.copyMillis(noticedTokens) * SLOWER_COPY_FACTOR;
        return memory.copyMillis(earlierTokens) <= 0 || waitedMillis >= expectedMillis;
    }
}
