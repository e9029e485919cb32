package org.redwinghook.experiments.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.HdrHistogram.Histogram;

/** What one replay measures. Requests of the warm-up phase are left out. */
final class Measurements {

    static final long FIRST_TOKEN_TARGET_MICROS = 870_000;
    static final long GAP_TARGET_MICROS = 80_000;

    private static final long HIGHEST_MICROS = 3_600 * Timeline.SECOND;
    private static final int DIGITS = 3;

    private final Histogram gaps = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Histogram firstTokens = new Histogram(HIGHEST_MICROS, DIGITS);
    private final Map<String, PartyCounts> customers = new HashMap<>();
    private final PartyCounts all = new PartyCounts();
    private final PartyCounts move = new PartyCounts();
    private double stallMicros;
    private double waitMicros;
    private long preemptions;
    private long crashes;
    private long interrupted;

    void arrived(TracedRequest request) {
        each(request, PartyCounts::arrived);
    }

    void token(RequestRun run, long previousMicros, long nowMicros, long latencyMicros) {
        TracedRequest request = run.request();
        if (!measured(request)) {
            return;
        }
        if (previousMicros == RequestRun.NONE) {
            long micros = nowMicros + latencyMicros - request.arrivalMicros();
            waitMicros += micros;
            firstTokens.recordValue(micros);
            each(request, counts -> counts.started(micros));
        } else {
            gaps.recordValue(nowMicros - previousMicros);
            stallMicros += Math.max(0, nowMicros - previousMicros - GAP_TARGET_MICROS);
        }
        if (request.kind() != RequestKind.LOOKUP) {
            each(request, counts -> counts.token(nowMicros));
        }
    }

    void refused(TracedRequest request) {
        each(request, PartyCounts::refused);
    }

    /** A request that a failure cut is not served, however early its first token came. */
    void interrupted(RequestRun run) {
        TracedRequest request = run.request();
        interrupted += measured(request) ? 1 : 0;
        boolean onTime = run.firstTokenMicros() - request.arrivalMicros() <= FIRST_TOKEN_TARGET_MICROS;
        each(request, counts -> counts.interrupted(onTime));
    }

    void preempted(TracedRequest request) {
        preemptions += measured(request) ? 1 : 0;
    }

    void crashed() {
        crashes++;
    }

    double stallSeconds() {
        return stallMicros / Timeline.SECOND;
    }

    double waitSeconds() {
        return waitMicros / Timeline.SECOND;
    }

    long preemptions() {
        return preemptions;
    }

    long crashes() {
        return crashes;
    }

    long interrupted() {
        return interrupted;
    }

    double gapMillis(double percentile) {
        return gaps.getValueAtPercentile(percentile) / 1_000.0;
    }

    double firstTokenMillis(double percentile) {
        return firstTokens.getValueAtPercentile(percentile) / 1_000.0;
    }

    PartyCounts all() {
        return all;
    }

    PartyCounts move() {
        return move;
    }

    /** Sum over customers. */
    PartyCounts group(List<String> names) {
        PartyCounts sum = new PartyCounts();
        names.forEach(name -> sum.add(customer(name)));
        return sum;
    }

    private PartyCounts customer(String name) {
        return customers.computeIfAbsent(name, ignored -> new PartyCounts());
    }

    private void each(TracedRequest request, Consumer<PartyCounts> action) {
        if (!measured(request)) {
            return;
        }
        action.accept(all);
        action.accept(customer(request.customer()));
        if (Timeline.duringMove(request.arrivalMicros())) {
            action.accept(move);
        }
    }

    private static boolean measured(TracedRequest request) {
        return request.arrivalMicros() >= Timeline.MEASURED_FROM;
    }
}
