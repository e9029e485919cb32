package org.redwinghook.core.admission;

import java.util.Collection;

import org.redwinghook.core.length.OutputLengths;
import org.redwinghook.core.length.OutputQuery;

/** Projected memory of an engine over the next decoding steps. */
final class MemoryProjection {

    /** Number of decoding steps that are projected. */
    private static final int HORIZON_STEPS = 512;

    /** Number of decoding steps in one interval of the projection. */
    private static final int STRIDE_STEPS = 32;

    private static final int INTERVALS = HORIZON_STEPS / STRIDE_STEPS;

    /** Maximum share of the memory for the projected peak; the rest covers deviations from the expectation. */
    private static final double MAXIMUM_SHARE = 0.92;

    /** Share of the memory that is reserved for quick requests, so that they do not wait for the end of long ones. */
    private static final double RESERVED_SHARE = 0.03;

    private final int memoryTokens;
    private final OutputLengths lengths;

    MemoryProjection(int memoryTokens, OutputLengths lengths) {
        this.memoryTokens = memoryTokens;
        this.lengths = lengths;
    }

    boolean fits(Collection<RunningWork> running, WorkItem candidate, boolean mayUseReserve) {
        if (memoryTokens == 0 || running.isEmpty()) {
            return true;
        }
        ProjectedMemory memory = project(running);
        add(memory, candidate.output(), candidate.promptTokens(), 0);
        return memory.peak() <= maximumShare(mayUseReserve) * memoryTokens;
    }

    /** Whether the memory is full for long requests of any size. */
    boolean isFull(Collection<RunningWork> running) {
        return projectedShare(running) >= maximumShare(false);
    }

    private static double maximumShare(boolean mayUseReserve) {
        return mayUseReserve ? MAXIMUM_SHARE : MAXIMUM_SHARE - RESERVED_SHARE;
    }

    double projectedShare(Collection<RunningWork> running) {
        return memoryTokens == 0 ? 0 : Math.min(1, project(running).peak() / memoryTokens);
    }

    private ProjectedMemory project(Collection<RunningWork> running) {
        ProjectedMemory memory = new ProjectedMemory(INTERVALS);
        for (RunningWork work : running) {
            add(memory, work.output(), work.item().promptTokens(), work.generated());
        }
        return memory;
    }

    /**
     * Counts a generation in each interval with its survival at the start and its length at the end of the interval, so
     * that no peak is missed.
     */
    private void add(ProjectedMemory memory, OutputQuery output, int promptTokens, int generated) {
        for (int interval = 0; interval < INTERVALS; interval++) {
            int steps = interval * STRIDE_STEPS;
            double survival = steps == 0 ? 1 : lengths.survival(output, generated, steps);
            if (survival <= 0) {
                return;
            }
            int tokens = Math.min(generated + steps + STRIDE_STEPS, output.maximumOutputTokens());
            memory.add(interval, survival, promptTokens + tokens);
        }
    }
}
