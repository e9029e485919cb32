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

    /** Share of the notice after which routers no longer wait for all earlier ones, which may have failed. */
    private static final double STRICT_TURNS_SHARE_OF_NOTICE = 2.0 / 3;

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
     * queue behind another router's full copy on the engine's link. Late in the notice, a router no longer waits if its
     * copy fits in the rest beside those of the earlier routers; when all the others started at that time, each run was
     * stopped behind their copies and nearly all of them were lost.
     *
     * @param earlierTokens memory at the engine that earlier routers have not moved yet
     * @param ownTokens memory of the runs that this router would copy first
     * @param memory memory of the engine
     * @param waitedMillis time since the engine's notice
     * @param noticeMillis time between the notice and the engine's shutdown
     * @return true in this router's turn
     */
    public static boolean mayStartCopying(
            long earlierTokens, long ownTokens, EngineMemory memory, double waitedMillis, double noticeMillis) {
        double earlierMillis = memory.copyMillis(earlierTokens);
        if (earlierMillis <= 0) {
            return true;
        }
        return waitedMillis >= noticeMillis * STRICT_TURNS_SHARE_OF_NOTICE
                && earlierMillis + memory.copyMillis(ownTokens) <= noticeMillis - waitedMillis;
    }
}
