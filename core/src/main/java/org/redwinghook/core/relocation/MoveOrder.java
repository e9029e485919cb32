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
    private static final double COMPLETION_SHARE_OF_NOTICE = 0.5;

    /** Latest turn as a part of the notice: a copy that starts later is not complete in time. */
    private static final double LATEST_START_SHARE_OF_NOTICE = 2.0 / 3;

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
        moving.sort(Comparator.comparing(
                        (RunAtEngine run) -> run.expectedRemainingMillis() <= noticeMillis * COMPLETION_SHARE_OF_NOTICE)
                .thenComparingDouble(run -> memory.copyMillis(run.residentTokens()))
                .thenComparing(RunAtEngine::requestId));
        return moving;
    }

    /**
     * Whether a router may copy its runs. Routers take turns, so that a copy that stops its run does not queue behind
     * another router's whole copy on the engine's link.
     *
     * @param earlierTokens memory at the engine that routers before this one have not moved yet
     * @param memory memory of the engine
     * @param waitedMillis time since the engine's notice
     * @param noticeMillis time between the notice and the engine's end
     * @return true once the others are done, or when a later start would come too late
     */
    public static boolean mayStartCopying(
            long earlierTokens, EngineMemory memory, double waitedMillis, double noticeMillis) {
        return memory.copyMillis(earlierTokens) <= 0 || waitedMillis >= noticeMillis * LATEST_START_SHARE_OF_NOTICE;
    }
}
