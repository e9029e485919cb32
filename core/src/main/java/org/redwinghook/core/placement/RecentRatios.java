package org.redwinghook.core.placement;

import java.util.Arrays;

/**
 * Median of an endpoint's recent durations relative to the expected ones, as logarithms. Load: a machine is 2.5 times
 * slower for some 600 ms at a time. The samples span at least 4 s, so an episode supplies a minority of them, while a
 * lasting change supplies the majority after 2 s. Times are milliseconds of a monotonic clock.
 */
final class RecentRatios {

    /** Time after which a sample is forgotten, so that an endpoint that is avoided as slow is tried again. */
    static final long MAXIMUM_AGE_MILLIS = 60_000;

    /** Time in which the weight of the samples halves. */
    private static final double HALF_LIFE_MILLIS = 20_000;

    /** Shortest time between two samples, in milliseconds; others in between are ignored. */
    static final long MINIMUM_INTERVAL_MILLIS = 200;

    private static final int CAPACITY = 21;

    /** Largest absolute logarithm of a sample. */
    private static final double MAXIMUM_LOG_RATIO = 3;

    private final float[] logRatios = new float[CAPACITY];
    private final long[] addedAtMillis = new long[CAPACITY];
    private int first;
    private int size;
    private boolean isMedianKnown;
    private double median;

    /**
     * Adds a sample.
     *
     * @param ratio duration divided by the expected one
     * @param nowMillis current time
     */
    void add(double ratio, long nowMillis) {
        removeExpired(nowMillis);
        if (size > 0 && nowMillis - addedAtMillis[index(size - 1)] < MINIMUM_INTERVAL_MILLIS) {
            return;
        }
        if (size == CAPACITY) {
            removeFirst();
        }
        int index = index(size);
        logRatios[index] = (float) Math.max(-MAXIMUM_LOG_RATIO, Math.min(MAXIMUM_LOG_RATIO, Math.log(ratio)));
        addedAtMillis[index] = nowMillis;
        size++;
        isMedianKnown = false;
    }

    /** Removes samples that are too old and returns the number of others. */
    int removeExpired(long nowMillis) {
        while (size > 0 && nowMillis - addedAtMillis[first] > MAXIMUM_AGE_MILLIS) {
            removeFirst();
        }
        return size;
    }

    int size() {
        return size;
    }

    /** Number of samples, less the older they are. */
    double weight(long nowMillis) {
        if (size == 0) {
            return 0;
        }
        double typicalAge = Math.max(0, nowMillis - addedAtMillis[index(size / 2)]);
        return size * Math.pow(0.5, typicalAge / HALF_LIFE_MILLIS);
    }

    /** Median of the logarithms, of two the smaller one, since outliers are mostly slow; 0 without samples. */
    double median() {
        if (!isMedianKnown) {
            float[] sorted = new float[size];
            for (int position = 0; position < size; position++) {
                sorted[position] = logRatios[index(position)];
            }
            Arrays.sort(sorted);
            median = size == 0 ? 0 : sorted[(size - 1) / 2];
            isMedianKnown = true;
        }
        return median;
    }

    private void removeFirst() {
        first = index(1);
        size--;
        isMedianKnown = false;
    }

    private int index(int position) {
        return (first + position) % CAPACITY;
    }
}
