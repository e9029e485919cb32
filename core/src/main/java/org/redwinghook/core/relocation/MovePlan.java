package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;

/**
 * Which runs of one router are copied together when their engine leaves. Answers departures at short notice: the
 * engine's link takes one copy after another, and a router in another region needs several trips for each run. The
 * copies of a wave are called at once, so that the link is not idle between them; the next wave starts when all runs of
 * the one before have stopped, so that a stopped run does not wait behind many whole copies.
 *
 * @param waves runs in the order of their copies
 */
public record MovePlan(List<List<RunAtEngine>> waves) {

    /** Link time of a wave, in milliseconds: two runs of usual size. */
    private static final double MAXIMUM_WAVE_COPY_MILLIS = 400;

    public MovePlan {
        waves = List.copyOf(waves);
    }

    /**
     * Plans the moves of one router.
     *
     * @param runs the router's runs at the engine
     * @param memory memory of the engine
     * @param noticeMillis time until the engine is gone
     * @return the plan; runs that may start anew elsewhere are not part of it
     */
    public static MovePlan of(List<RunAtEngine> runs, EngineMemory memory, double noticeMillis) {
        List<List<RunAtEngine>> waves = new ArrayList<>();
        List<RunAtEngine> wave = new ArrayList<>();
        double waveMillis = 0;
        for (RunAtEngine run : MoveOrder.order(runs, memory, noticeMillis)) {
            double copyMillis = memory.copyMillis(run.residentTokens());
            if (!wave.isEmpty() && waveMillis + copyMillis > MAXIMUM_WAVE_COPY_MILLIS) {
                waves.add(List.copyOf(wave));
                wave.clear();
                waveMillis = 0;
            }
            wave.add(run);
            waveMillis += copyMillis;
        }
        if (!wave.isEmpty()) {
            waves.add(List.copyOf(wave));
        }
        return new MovePlan(waves);
    }
}
