package org.redwinghook.experiments.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.HdrHistogram.Histogram;

/** Measurements of one replay. Requests that arrive during the warm-up phase are excluded. */
final class Measurements {

    /** Maximum time to the first token of a request that counts as on time. */
    static final long FIRST_TOKEN_TARGET_MICROS = 870_000;

    /** Time between tokens above which the excess counts as stall time. */
    static final long TOKEN_GAP_TARGET_MICROS = 80_000;

    private static final long MAXIMUM_MICROS = 3_600 * Timeline.SECOND_MICROS;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram tokenGaps = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram firstTokens = new Histogram(MAXIMUM_MICROS, SIGNIFICANT_DIGITS);
    private final Map<String, RequestCounts> countsByCustomer = new HashMap<>();
    private final RequestCounts total = new RequestCounts();
    private final RequestCounts duringMove = new RequestCounts();
    private double stallMicros;
    private double waitMicros;
    private long preemptions;
    private long crashes;
    private long interrupted;

    void recordArrival(TraceRequest request) {
        updateCounts(request, RequestCounts::recordArrival);
    }

    void recordToken(RequestRun run, long previousMicros, long nowMicros, long latencyMicros) {
        TraceRequest request = run.request();
        if (!isMeasured(request)) {
            return;
        }
        if (previousMicros == RequestRun.NO_TIME) {
            long firstTokenMicros = nowMicros + latencyMicros - request.arrivalMicros();
            waitMicros += firstTokenMicros;
            firstTokens.recordValue(firstTokenMicros);
            updateCounts(request, counts -> counts.recordFirstToken(firstTokenMicros));
        } else {
            tokenGaps.recordValue(nowMicros - previousMicros);
            stallMicros += Math.max(0, nowMicros - previousMicros - TOKEN_GAP_TARGET_MICROS);
        }
        if (request.kind() != RequestKind.LOOKUP) {
            updateCounts(request, counts -> counts.recordToken(nowMicros));
        }
    }

    void recordRefusal(TraceRequest request) {
        updateCounts(request, RequestCounts::recordRefusal);
    }

    /** An interrupted request does not count as served, even if its first token was on time. */
    void recordInterruption(RequestRun run) {
        TraceRequest request = run.request();
        interrupted += isMeasured(request) ? 1 : 0;
        boolean onTime = run.firstTokenMicros() - request.arrivalMicros() <= FIRST_TOKEN_TARGET_MICROS;
        updateCounts(request, counts -> counts.recordInterruption(onTime));
    }

    void recordPreemption(TraceRequest request) {
        preemptions += isMeasured(request) ? 1 : 0;
    }

    void recordCrash() {
        crashes++;
    }

    double stallSeconds() {
        return stallMicros / Timeline.SECOND_MICROS;
    }

    double waitSeconds() {
        return waitMicros / Timeline.SECOND_MICROS;
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

    double tokenGapMillis(double percentile) {
        return tokenGaps.getValueAtPercentile(percentile) / 1_000.0;
    }

    double firstTokenMillis(double percentile) {
        return firstTokens.getValueAtPercentile(percentile) / 1_000.0;
    }

    RequestCounts total() {
        return total;
    }

    RequestCounts duringMove() {
        return duringMove;
    }

    /** Sum of the counts of some customers. */
    RequestCounts sumOfCustomers(List<String> customers) {
        RequestCounts sum = new RequestCounts();
        customers.forEach(name -> sum.add(countsOf(name)));
        return sum;
    }

    private RequestCounts countsOf(String customer) {
        return countsByCustomer.computeIfAbsent(customer, ignored -> new RequestCounts());
    }

    private void updateCounts(TraceRequest request, Consumer<RequestCounts> update) {
        if (!isMeasured(request)) {
            return;
        }
        update.accept(total);
        update.accept(countsOf(request.customer()));
        if (Timeline.isDuringMove(request.arrivalMicros())) {
            update.accept(duringMove);
        }
    }

    private static boolean isMeasured(TraceRequest request) {
        return request.arrivalMicros() >= Timeline.MEASUREMENT_START_MICROS;
    }
}
