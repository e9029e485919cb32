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
    private static final double MAXIMUM_SHARE = 0.92;

    /** Share that is kept free of long requests, so that a quick one does not wait for a long one's end. */
    private static final double RESERVED_SHARE = 0.03;

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
        ProjectedMemory memory = project(running);
        add(memory, candidate.output(), candidate.promptTokens(), 0);
        return memory.peak() <= maximumShare(reserve) * memoryTokens;
    }

    /** Whether the memory is full for long requests of any size. */
    boolean isFull(Collection<RunningWork> running) {
        return projectedShare(running) >= maximumShare(false);
    }

    private static double maximumShare(boolean reserve) {
        return reserve ? MAXIMUM_SHARE : MAXIMUM_SHARE - RESERVED_SHARE;
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
