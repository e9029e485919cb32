package org.redwinghook.standins.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

/** Continuous batching: which generations decode, which wait, and what they hold in memory. */
final class Batch {

    private final int maximumBatch;
    private final int capacityTokens;
    private final PrefixCache cache;
    private final TreeSet<Generation> running = new TreeSet<>(Generation.ORDER);
    private final TreeSet<Generation> waiting = new TreeSet<>(Generation.ORDER);
    private int memoryUsed;
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

    int running() {
        return running.size();
    }

    int waiting() {
        return waiting.size();
    }

    int memoryUsed() {
        return memoryUsed;
    }

    long preemptions() {
        return preemptions;
    }

    /** Moves waiting generations into the batch while they fit and returns the tokens that must be prefilled. */
    int admit() {
        int prefill = 0;
        while (!waiting.isEmpty() && running.size() < maximumBatch) {
            Generation next = waiting.first();
            if (memoryUsed + next.memoryTokens() + 1 > capacityTokens) {
                break;
            }
            waiting.remove(next);
            running.add(next);
            memoryUsed += next.memoryTokens();
            prefill += Math.max(0, next.memoryTokens() - cache.use(next.prompt()));
        }
        return prefill;
    }

    /** Decodes one step and returns the generations that got a token or ended. */
    List<Generation> decode() {
        List<Generation> advanced = new ArrayList<>();
        for (Generation generation : List.copyOf(running)) {
            if (!makeRoomFor(generation)) {
                continue;
            }
            if (memoryUsed < capacityTokens) {
                generation.advance();
                memoryUsed++;
            } else {
                generation.finishForLackOfMemory();
            }
            advanced.add(generation);
            if (generation.finished()) {
                release(generation);
            }
        }
        return advanced;
    }

    /** Preempts the least important generations until a token fits; false if that includes the given one. */
    private boolean makeRoomFor(Generation generation) {
        while (memoryUsed >= capacityTokens && running.contains(generation) && running.size() > 1) {
            Generation victim = running.last();
            release(victim);
            waiting.add(victim);
            preemptions++;
        }
        return running.contains(generation);
    }

    private void release(Generation generation) {
        if (running.remove(generation)) {
            memoryUsed -= generation.memoryTokens();
        }
    }
}
