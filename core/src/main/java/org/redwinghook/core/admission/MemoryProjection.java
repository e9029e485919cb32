package org.redwinghook.core.admission;

import java.util.Collection;

import org.redwinghook.core.length.OutputLengths;
import org.redwinghook.core.length.OutputQuery;

/** Expected memory of an engine over the next decoding steps. */
final class MemoryProjection {

    /** Decoding steps that are projected. */
    private static final int HORIZON_STEPS = 512;

    /** Steps that are projected together. */
    private static final int STRIDE_STEPS = 32;

    private static final int INTERVALS = HORIZON_STEPS / STRIDE_STEPS;

    /** Share of the memory that the projected peak stays under; the rest covers the spread around the expectation. */
    private static final double MEMORY_BOUND = 0.92;

    /** Share that is kept free of long requests, so that a quick one does not wait for a long one's end. */
    private static final double RESERVE = 0.03;

    private final int memoryTokens;
    private final OutputLengths lengths;

    MemoryProjection(int memoryTokens, OutputLengths lengths) {
        this.memoryTokens = memoryTokens;
        this.lengths = lengths;
    }

    boolean fits(Collection<RunningWork> running, WorkItem candidate, boolean reserve) {
        if (memoryTokens == 0 || running.isEmpty()) {
            return true;
        }
        ProjectedMemory memory = memory(running);
        add(memory, candidate.output(), candidate.promptTokens(), 0);
        return memory.peak() <= bound(reserve) * memoryTokens;
    }

    /** Whether the memory is full for long requests of any size. */
    boolean isFull(Collection<RunningWork> running) {
        return share(running) >= bound(false);
    }

    private static double bound(boolean reserve) {
        return reserve ? MEMORY_BOUND : MEMORY_BOUND - RESERVE;
    }

    double share(Collection<RunningWork> running) {
        return memoryTokens == 0 ? 0 : Math.min(1, memory(running).peak() / memoryTokens);
    }

    private ProjectedMemory memory(Collection<RunningWork> running) {
        ProjectedMemory memory = new ProjectedMemory(INTERVALS);
        for (RunningWork work : running) {
            add(memory, work.output(), work.item().promptTokens(), work.generated());
        }
        return memory;
    }

    /** A generation counts in an interval as alive at its start and as long as at its end, so that no peak is missed. */
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
