package org.redwinghook.experiments.policy;

import org.HdrHistogram.Histogram;

/** Counts of one group of requests. */
final class RequestCounts {

    private static final double PERCENT = 100;

    private final Histogram firstTokens = new Histogram(3_600 * Timeline.SECOND_MICROS, 2);
    private long arrived;
    private long onTime;
    private long late;
    private long refused;
    private long tokens;
    private long tokensDuringArrivals;

    void arrived() {
        arrived++;
    }

    void recordFirstToken(long firstTokenMicros) {
        firstTokens.recordValue(firstTokenMicros);
        if (firstTokenMicros <= Measurements.FIRST_TOKEN_TARGET_MICROS) {
            onTime++;
        } else {
            late++;
        }
    }

    void recordInterruption(boolean wasOnTime) {
        if (wasOnTime) {
            onTime--;
        } else {
            late--;
        }
    }

    void refused() {
        refused++;
    }

    void recordToken(long nowMicros) {
        tokens++;
        // Shares are compared while requests arrive; what runs later meets no competition.
        if (nowMicros < Timeline.ARRIVALS_END_MICROS) {
            tokensDuringArrivals++;
        }
    }

    void add(RequestCounts other) {
        firstTokens.add(other.firstTokens);
        arrived += other.arrived;
        onTime += other.onTime;
        late += other.late;
        refused += other.refused;
        tokens += other.tokens;
        tokensDuringArrivals += other.tokensDuringArrivals;
    }

    long requests() {
        return arrived;
    }

    long tokens() {
        return tokens;
    }

    /** Tokens that were served while requests arrived. */
    long tokensDuringArrivals() {
        return tokensDuringArrivals;
    }

    double onTimePercent() {
        return percent(onTime);
    }

    double latePercent() {
        return percent(late);
    }

    double refusedPercent() {
        return percent(refused);
    }

    double firstTokenMillis(double percentile) {
        return firstTokens.getValueAtPercentile(percentile) / 1_000.0;
    }

    private double percent(long part) {
        return arrived == 0 ? 0 : PERCENT * part / arrived;
    }
}
