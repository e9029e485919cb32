package org.redwinghook.experiments.policy;

import org.HdrHistogram.Histogram;

/** Counts and times to the first token of a group of requests. */
final class RequestCounts {

    private static final double PERCENT = 100;

    private final Histogram firstTokens = new Histogram(3_600 * Timeline.SECOND_MICROS, 2);
    private long arrivedRequests;
    private long onTimeRequests;
    private long lateRequests;
    private long refusedRequests;
    private long tokens;
    private long tokensDuringArrivals;

    void recordArrival() {
        arrivedRequests++;
    }

    void recordFirstToken(long firstTokenMicros) {
        firstTokens.recordValue(firstTokenMicros);
        if (firstTokenMicros <= Measurements.FIRST_TOKEN_TARGET_MICROS) {
            onTimeRequests++;
        } else {
            lateRequests++;
        }
    }

    void recordInterruption(boolean wasOnTime) {
        if (wasOnTime) {
            onTimeRequests--;
        } else {
            lateRequests--;
        }
    }

    void recordRefusal() {
        refusedRequests++;
    }

    void recordToken(long nowMicros) {
        tokens++;
        // Shares are compared only while requests arrive: later, generations no longer compete with new requests.
        if (nowMicros < Timeline.ARRIVALS_END_MICROS) {
            tokensDuringArrivals++;
        }
    }

    void add(RequestCounts other) {
        firstTokens.add(other.firstTokens);
        arrivedRequests += other.arrivedRequests;
        onTimeRequests += other.onTimeRequests;
        lateRequests += other.lateRequests;
        refusedRequests += other.refusedRequests;
        tokens += other.tokens;
        tokensDuringArrivals += other.tokensDuringArrivals;
    }

    long requests() {
        return arrivedRequests;
    }

    long tokens() {
        return tokens;
    }

    /** Tokens that were generated before the arrivals ended. */
    long tokensDuringArrivals() {
        return tokensDuringArrivals;
    }

    double onTimePercent() {
        return percent(onTimeRequests);
    }

    double latePercent() {
        return percent(lateRequests);
    }

    double refusedPercent() {
        return percent(refusedRequests);
    }

    double firstTokenMillis(double percentile) {
        return firstTokens.getValueAtPercentile(percentile) / 1_000.0;
    }

    private double percent(long part) {
        return arrivedRequests == 0 ? 0 : PERCENT * part / arrivedRequests;
    }
}
