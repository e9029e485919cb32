package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.forward.ReportedLoad;
import org.redwinghook.core.forward.RequestKind;
import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.EndpointSpeeds;
import org.redwinghook.core.placement.EngineSpeed;
import org.redwinghook.core.placement.ExpectedDuration;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.SpeedSample;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Learns the speed of endpoints from attempts, compares estimates with outcomes and records the reported load. */
final class SpeedTracker implements AttemptObserver {

    private static final Logger LOGGER = LoggerFactory.getLogger(SpeedTracker.class);

    /** Interval at which slowdowns are computed, in milliseconds. */
    private static final long REFRESH_INTERVAL_MILLIS = 500;

    /** Shortest time over which gaps between events are averaged, since events may arrive several at once. */
    private static final long GAP_SAMPLE_MILLIS = 200;

    /** Slowdown from which an endpoint is reported as slow. */
    private static final double SLOW = 1.5;

    /** Slowdown below which a slow endpoint is reported as usual, lower than {@link #SLOW} to bound the log. */
    private static final double USUAL_AGAIN = 1.3;

    /** Largest number of lines about speeds in each refresh; later changes are logged by the next ones. */
    private static final int MAXIMUM_LINES = 10;

    private static final PlacementQuery CALL_SIZE = new PlacementQuery(0, 0);

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final ForwardingState state;
    private final ForwardSelector selector;
    private final ForwardMetrics metrics;
    private final EndpointSpeeds speeds;
    private final IntSupplier connectedRouters;
    private final Map<CallerExchange, ObservedAttempt> attempts = new HashMap<>();
    private final Set<String> slowInstances = new HashSet<>();

    SpeedTracker(
            Vertx vertx,
            MonotonicClock clock,
            ForwardingState state,
            ForwardSelector selector,
            ForwardMetrics metrics,
            EndpointSpeeds speeds,
            IntSupplier connectedRouters) {
        this.vertx = vertx;
        this.clock = clock;
        this.state = state;
        this.selector = selector;
        this.metrics = metrics;
        this.speeds = speeds;
        this.connectedRouters = connectedRouters;
    }

    void start() {
        vertx.setPeriodic(REFRESH_INTERVAL_MILLIS, ignored -> refresh());
    }

    @Override
    public void handleStart(CallerExchange caller, KnownEndpoint endpoint) {
        attempts.put(caller, new ObservedAttempt(caller, endpoint));
    }

    @Override
    public void handleResponseHead(CallerExchange caller, KnownEndpoint endpoint, ResponseHead head) {
        ReportedLoad load = head.load();
        if (load == null || !head.belongsTo(caller.requestId())) {
            return;
        }
        if (!load.isUsable()) {
            metrics.recordUnusableLoad(endpoint.entry().service());
        }
        if (!endpoint.recordLoad(load, clock.millis())) {
            LOGGER.warn(
                    "load unusable endpoint={} service={}",
                    endpoint.entry().incarnation(),
                    endpoint.entry().service());
        }
    }

    @Override
    public void handleFirstEvent(CallerExchange caller, KnownEndpoint endpoint, long sinceStartMillis) {
        ObservedAttempt attempt = attempts.get(caller);
        if (attempt == null || attempt.isContinuation) {
            return;
        }
        attempt.recordDuration(SpeedSample.FIRST_EVENT, sinceStartMillis);
        LOGGER.info(
                "first event id={} endpoint={} version={} predictedMillis={} actualMillis={} running={} slowdown={}",
                caller.requestId(),
                endpoint.entry().id(),
                endpoint.entry().version(),
                Math.round(attempt.expected.predictedMillis()),
                sinceStartMillis,
                attempt.candidate.work().running(),
                format(attempt.candidate.slowdown()));
    }

    @Override
    public void handleNextEvent(CallerExchange caller, KnownEndpoint endpoint, long gapMillis) {
        ObservedAttempt attempt = attempts.get(caller);
        if (attempt != null) {
            attempt.recordGap(gapMillis);
        }
    }

    @Override
    public void handleEnd(
            CallerExchange caller, KnownEndpoint endpoint, AttemptOutcome outcome, long sinceStartMillis) {
        ObservedAttempt attempt = attempts.remove(caller);
        if (attempt != null && !attempt.isStream && outcome == AttemptOutcome.SUCCEEDED) {
            attempt.recordDuration(SpeedSample.CALL, sinceStartMillis);
        }
    }

    /** Computes the slowdowns and passes them to the endpoints. */
    void refresh() {
        List<EndpointEntry> entries = state.endpoints().entries();
        List<String> instances = new ArrayList<>();
        entries.forEach(entry -> instances.add(entry.incarnation()));
        speeds.refresh(instances, connectedRouters.getAsInt(), clock.millis());
        slowInstances.retainAll(new HashSet<>(instances));
        int lines = 0;
        for (int index = 0; index < instances.size(); index++) {
            EndpointEntry entry = entries.get(index);
            double slowdown = speeds.slowdown(instances.get(index));
            state.endpoints().find(entry.id()).ifPresent(endpoint -> endpoint.setLearnedSlowdown(slowdown));
            if (lines < MAXIMUM_LINES && logChange(entry, instances.get(index), slowdown)) {
                lines++;
            }
        }
    }

    private boolean logChange(EndpointEntry entry, String instance, double slowdown) {
        boolean wasSlow = slowInstances.contains(instance);
        boolean isSlow = slowdown >= (wasSlow ? USUAL_AGAIN : SLOW);
        if (isSlow == wasSlow) {
            return false;
        }
        if (isSlow) {
            slowInstances.add(instance);
        } else {
            slowInstances.remove(instance);
        }
        metrics.recordSpeedChange(entry.service(), isSlow ? "slow" : "usual");
        LOGGER.info(
                "endpoint speed endpoint={} service={} state={} slowdown={}",
                instance,
                entry.service(),
                isSlow ? "slow" : "usual",
                format(slowdown));
        return true;
    }

    private static String format(double slowdown) {
        return String.format(Locale.ROOT, "%.2f", slowdown);
    }

    /** An attempt that has not ended. */
    private final class ObservedAttempt {

        private final CallerExchange caller;
        private final KnownEndpoint endpoint;
        private final EndpointEntry entry;
        private final Candidate candidate;
        private final boolean isStream;
        private final boolean isContinuation;
        private final ExpectedDuration expected;
        private long gapsMillis;
        private int gaps;

        ObservedAttempt(CallerExchange caller, KnownEndpoint endpoint) {
            this.caller = caller;
            this.endpoint = endpoint;
            this.entry = endpoint.entry();
            this.isStream = caller.route().kind() == RequestKind.STREAMING;
            this.isContinuation = caller.response().headWritten();
            PlacementPolicy policy = isStream ? PlacementPolicy.GENERATION : PlacementPolicy.CALL;
            PlacementQuery query = isStream ? caller.head().expectedSize() : CALL_SIZE;
            Candidate described = selector.describe(endpoint);
            // The work of the endpoint already contains this attempt.
            this.candidate = described.withWork(described.work().withoutWaiting(query));
            this.expected = ExpectedDuration.of(policy, candidate, query);
        }

        void recordDuration(SpeedSample kind, long millis) {
            metrics.recordEstimate(
                    entry.service(),
                    kind.name().toLowerCase(Locale.ROOT),
                    millis / Math.max(1, expected.predictedMillis()));
            expected.ratioToUsual(millis).ifPresent(ratio -> learn(kind, ratio));
        }

        void recordGap(long millis) {
            if (caller.response().writeQueueFull()) {
                // The caller is slow, so the next events wait at the router.
                gapsMillis = 0;
                gaps = 0;
                return;
            }
            gapsMillis += millis;
            gaps++;
            if (gapsMillis < GAP_SAMPLE_MILLIS) {
                return;
            }
            int running = selector.describe(endpoint).work().running();
            learn(SpeedSample.GAP, gapsMillis / (gaps * EngineSpeed.eventGapMillis(running)));
            gapsMillis = 0;
            gaps = 0;
        }

        /** Learns the usual speed, without the current deviation that the endpoint itself reports. */
        private void learn(SpeedSample kind, double ratio) {
            long now = clock.millis();
            double usualRatio = ratio / endpoint.momentarySlowdown(now);
            speeds.record(entry.incarnation(), entry.service(), kind, usualRatio, now);
        }
    }
}
