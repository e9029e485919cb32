package org.redwinghook.core.admission;

import java.util.Arrays;

/** Median of the most recent samples. */
final class RecentMedian {

    private final long[] samples;
    private int size;
    private int next;

    RecentMedian(int capacity) {
        samples = new long[capacity];
    }

    void add(long sample) {
        samples[next] = sample;
        next = (next + 1) % samples.length;
        size = Math.min(samples.length, size + 1);
    }

    boolean isFull() {
        return size == samples.length;
    }

    /** Returns the median, 0 without samples. */
    long median() {
        if (size == 0) {
            return 0;
        }
        long[] sorted = Arrays.copyOf(samples, size);
        Arrays.sort(sorted);
        return sorted[size / 2];
    }

    void clear() {
        size = 0;
        next = 0;
    }
}
