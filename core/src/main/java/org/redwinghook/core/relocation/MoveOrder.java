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
        moving.sort(Comparator.comparing((RunAtEngine run) -> isExpectedToEnd(run, noticeMillis))
                .thenComparingDouble(run -> memory.copyMillis(run.residentTokens()))
                .thenComparing(RunAtEngine::requestId));
        return moving;
    }

    /**
     * Whether a run is expected to end by itself in time.
     *
     * @param run the run
     * @param noticeMillis time until the engine shuts down
     * @return true with a margin, since the estimate of its length may be too short
     */
    public static boolean isExpectedToEnd(RunAtEngine run, double noticeMillis) {
        return run.expectedRemainingMillis() <= noticeMillis * COMPLETION_SHARE_OF_NOTICE;
    }
}
