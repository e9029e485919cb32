package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;

/**
 * When one router copies its runs away from an engine that leaves. Answers departures at short notice under the runs of
 * several routers: the engine's link takes one copy after another, in the order of the calls. Copies start in waves. The
 * copies of one wave are called at once, whichever router they belong to, so that the link is not idle between them; the
 * next wave starts when they are expected to be done, so that stopped runs do not wait behind many whole copies. A
 * router counts the memory of the routers whose names sort before its own as queued before its runs.
 *
 * @param moves the moves in order
 * @param hurryMillis time from the notice after which a copied run stops at once, in milliseconds
 */
public record MovePlan(List<PlannedMove> moves, double hurryMillis) {

    /** Link time of a wave, in milliseconds: about two runs of usual size. */
    private static final double WAVE_MILLIS = 400;

    /** Time between waves for stopping the copied runs, in milliseconds: two trips between regions. */
    private static final double STOPPING_MILLIS = 60;

    /** Part of the notice that remains for stopping runs and going on elsewhere, in milliseconds. */
    private static final double LAST_STOP_MILLIS = 350;

    public MovePlan {
        moves = List.copyOf(moves);
    }

    /**
     * A run and when its copy starts.
     *
     * @param run the run
     * @param startMillis time from the notice, in milliseconds
     */
    public record PlannedMove(RunAtEngine run, double startMillis) {}

    /**
     * Plans the moves.
     *
     * @param runs this router's runs at the engine
     * @param memory memory of the engine
     * @param queue memory of other routers that is copied first
     * @param noticeMillis time until the engine is gone
     * @return the plan; runs that may start anew elsewhere are not part of it
     */
    public static MovePlan of(List<RunAtEngine> runs, EngineMemory memory, LinkQueue queue, double noticeMillis) {
        List<PlannedMove> moves = new ArrayList<>();
        double queuedMillis = queue.copyMillis(memory, queue.earlierTokens());
        for (RunAtEngine run : MoveOrder.order(runs, memory, noticeMillis)) {
            double wave = Math.floor(queuedMillis / WAVE_MILLIS);
            moves.add(new PlannedMove(run, wave * (WAVE_MILLIS + STOPPING_MILLIS)));
            queuedMillis += queue.copyMillis(memory, run.residentTokens());
        }
        return new MovePlan(moves, noticeMillis - LAST_STOP_MILLIS);
    }
}
