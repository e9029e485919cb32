package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;

/**
 * Orders the running generations (runs) of an engine that leaves. At short notice, there may be more runs than the
 * engine's link can copy: runs that are not expected to complete in time come first, sorted by the time of their copy,
 * since each moved run saves about the same. Runs that are expected to complete in time follow, since the estimate may
 * be too short.
 */
public final class MoveOrder {

    /**
     * Share of the notice up to which a run's expected remaining time counts as completion in time; the rest is a
     * margin, since the estimate of its length may be too short.
     */
    private static final double COMPLETION_SHARE_OF_NOTICE = 0.5;

    /** Latest start of a copy as a share of the notice: a copy that starts later does not complete in time. */
    private static final double LATEST_START_SHARE_OF_NOTICE = 2.0 / 3;

    private MoveOrder() {}

    /**
     * Orders runs to be moved one after another.
     *
     * @param runs the engine's runs
     * @param memory memory of the engine
     * @param noticeMillis time until the engine shuts down
     * @return runs to move, first to last, without the runs that may restart at another engine
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
     * Whether a router may start to copy its runs. Routers take turns, so that the final copy of a stopped run does not
     * queue behind another router's full copy on the engine's link.
     *
     * @param earlierTokens memory at the engine that earlier routers have not moved yet
     * @param memory memory of the engine
     * @param waitedMillis time since the engine's notice
     * @param noticeMillis time between the notice and the engine's shutdown
     * @return true once the earlier routers are done, or if a later start would be too late
     */
    public static boolean mayStartCopying(
            long earlierTokens, EngineMemory memory, double waitedMillis, double noticeMillis) {
        return memory.copyMillis(earlierTokens) <= 0 || waitedMillis >= noticeMillis * LATEST_START_SHARE_OF_NOTICE;
    }
}
