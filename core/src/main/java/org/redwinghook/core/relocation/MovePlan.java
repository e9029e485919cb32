package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.List;

import org.redwinghook.core.forward.EngineMemory;

/**
 * Groups the runs of one router into waves that are copied together when their engine leaves at short notice. The
 * engine's link transfers one copy after another, and a router in another region needs several round trips for each
 * run. The copies of a wave are requested at once, so that the link is not idle between them; the next wave starts when
 * all runs of the previous one have stopped, so that a stopped run does not wait behind many full copies.
 *
 * @param waves runs of each wave, in the order of their copies
 */
public record MovePlan(List<List<RunAtEngine>> waves) {

    /** Maximum link time of a wave, in milliseconds: two runs of typical size. */
    private static final double MAXIMUM_WAVE_COPY_MILLIS = 400;

    public MovePlan {
        waves = List.copyOf(waves);
    }

    /**
     * Memory of the runs that are copied first.
     *
     * @return the tokens, 0 without a run
     */
    public long firstWaveTokens() {
        return waves.isEmpty()
                ? 0
                : waves.get(0).stream().mapToLong(RunAtEngine::residentTokens).sum();
    }

    /**
     * Plans the moves of one router.
     *
     * @param runs the router's runs at the engine
     * @param memory memory of the engine
     * @param noticeMillis time until the engine shuts down
     * @return the plan, without the runs that may restart at another engine
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
