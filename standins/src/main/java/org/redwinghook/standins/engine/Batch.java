package org.redwinghook.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Continuous batching: the generations that decode, those that wait for memory, and the memory in use. */
final class Batch {

    private final int maximumBatch;
    private final int capacityTokens;
    private final PrefixCache cache;
    private final TreeSet<Generation> running = new TreeSet<>(Generation.SCHEDULING_ORDER);
    private final TreeSet<Generation> waiting = new TreeSet<>(Generation.SCHEDULING_ORDER);
    private int memoryUsedTokens;
    private long preemptions;

    Batch(int maximumBatch, int capacityTokens, PrefixCache cache) {
        this.maximumBatch = maximumBatch;
        this.capacityTokens = capacityTokens;
        this.cache = cache;
    }

    void add(Generation generation) {
        waiting.add(generation);
    }

    void remove(Generation generation) {
        waiting.remove(generation);
        release(generation);
    }

    int runningCount() {
        return running.size();
    }

    int waitingCount() {
        return waiting.size();
    }

    int memoryUsedTokens() {
        return memoryUsedTokens;
    }

    long preemptions() {
        return preemptions;
    }

    /** Moves waiting generations into the batch while they fit and returns the number of tokens to prefill. */
    int admit() {
        int prefillTokens = 0;
        while (!waiting.isEmpty() && running.size() < maximumBatch) {
            Generation next = waiting.first();
            if (memoryUsedTokens + next.memoryTokens() + 1 > capacityTokens) {
                break;
            }
            waiting.remove(next);
            running.add(next);
            memoryUsedTokens += next.memoryTokens();
            prefillTokens += Math.max(0, next.memoryTokens() - cache.lookUpAndStore(next.prompt()));
        }
        return prefillTokens;
    }

    /** Decodes one step and returns the generations that received a token or finished. */
    List<Generation> decode() {
        List<Generation> advanced = new ArrayList<>();
        for (Generation generation : List.copyOf(running)) {
            if (!preemptUntilTokenFits(generation)) {
                continue;
            }
            if (memoryUsedTokens < capacityTokens) {
                generation.generateToken();
                memoryUsedTokens++;
            } else {
                generation.finishOutOfMemory();
            }
            advanced.add(generation);
            if (generation.isFinished()) {
                release(generation);
            }
        }
        return advanced;
    }

    /**
     * Preempts generations, last in scheduling order first, until one more token fits. Returns whether the given
     * generation is still running.
     */
    private boolean preemptUntilTokenFits(Generation generation) {
        while (memoryUsedTokens >= capacityTokens && running.contains(generation) && running.size() > 1) {
            Generation victim = running.last();
            release(victim);
            waiting.add(victim);
            preemptions++;
        }
        return running.contains(generation);
    }

    private void release(Generation generation) {
        if (running.remove(generation)) {
            memoryUsedTokens -= generation.memoryTokens();
        }
    }
}
