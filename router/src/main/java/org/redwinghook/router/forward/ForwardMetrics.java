package org.redwinghook.router.forward;

import java.time.Duration;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToDoubleFunction;

import io.micrometer.core.instrument.DistributionSummary;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Tags;
import io.micrometer.core.instrument.Timer;

/** Counters and latency histograms of forwarded requests. */
final class ForwardMetrics {

    private static final double[] ESTIMATE_RATIO_BUCKETS = {0.25, 0.5, 0.7, 0.9, 1.1, 1.4, 2, 4, 8};
    private static final Duration MINIMUM_EXPECTED_DURATION = Duration.ofMillis(5);
    private static final Duration MAXIMUM_EXPECTED_DURATION = Duration.ofSeconds(60);

    private final MeterRegistry registry;

    /** Names of the routes with gauges, kept since the registry refers to them only weakly. */
    private final Set<String> routesWithGauges = new HashSet<>();

    /** Era of the store, kept since the registry refers to it only weakly. */
    private final AtomicLong storeEra = new AtomicLong();

    ForwardMetrics(MeterRegistry registry) {
        this.registry = registry;
        registry.gauge("redwinghook.forward.store.era", storeEra);
    }

    /**
     * Records a request that has ended.
     *
     * @param service service of the request
     * @param outcome how it ended
     * @param elapsedMillis time since its arrival, in milliseconds
     */
    void recordRequest(String service, String outcome, long elapsedMillis) {
        registry.counter("redwinghook.forward.requests", "service", service, "outcome", outcome)
                .increment();
        timer("redwinghook.forward.duration", service).record(Duration.ofMillis(elapsedMillis));
    }

    /**
     * Records the first event of a stream.
     *
     * @param service service of the stream
     * @param elapsedMillis time since the arrival of the request, in milliseconds
     */
    void recordFirstEvent(String service, long elapsedMillis) {
        timer("redwinghook.forward.first.event", service).record(Duration.ofMillis(elapsedMillis));
    }

    /**
     * Counts a request that failed at an endpoint.
     *
     * @param service service of the endpoint
     * @param cause kind of failure: unreachable, failed or refused
     */
    void recordEndpointFailure(String service, String cause) {
        registry.counter("redwinghook.forward.endpoint.failures", "service", service, "cause", cause)
                .increment();
    }

    /**
     * Counts a move of a run.
     *
     * @param outcome how it ended
     */
    void recordMove(String outcome) {
        registry.counter("redwinghook.forward.moves", "outcome", outcome).increment();
    }

    /**
     * Records an outcome beside its estimate.
     *
     * @param service service of the endpoint
     * @param kind kind of duration: first_event or call
     * @param ratio duration divided by the estimate
     */
    void recordEstimate(String service, String kind, double ratio) {
        DistributionSummary.builder("redwinghook.forward.estimate.ratio")
                .tag("service", service)
                .tag("kind", kind)
                .serviceLevelObjectives(ESTIMATE_RATIO_BUCKETS)
                .register(registry)
                .record(ratio);
    }

    /**
     * Counts an endpoint that became slow or usual again.
     *
     * @param service service of the endpoint
     * @param change slow or usual
     */
    void recordSpeedChange(String service, String change) {
        registry.counter("redwinghook.forward.speed.changes", "service", service, "change", change)
                .increment();
    }

    /**
     * Counts a response whose load figures were not usable.
     *
     * @param service service of the endpoint
     */
    void recordUnusableLoad(String service) {
        registry.counter("redwinghook.forward.load.unusable", "service", service)
                .increment();
    }

    /**
     * Counts a call to copy the memory of a run.
     *
     * @param outcome result of the copy, or {@code failed}
     */
    void recordCopy(String outcome) {
        registry.counter("redwinghook.forward.copies", "outcome", outcome.toLowerCase(Locale.ROOT))
                .increment();
    }

    /**
     * Counts an event of the quarantine of prompt parts.
     *
     * @param event kind of event: suspect, quarantined, trial or released
     */
    void recordQuarantine(String event) {
        registry.counter("redwinghook.forward.quarantine", "event", event).increment();
    }

    /**
     * Counts an attempt at an endpoint of a service with a roll-out.
     *
     * @param service service of the endpoint
     * @param version version of the endpoint
     * @param outcome how the attempt ended
     */
    void recordVersionAttempt(String service, String version, String outcome) {
        registry.counter(
                        "redwinghook.forward.version.attempts",
                        "service",
                        service,
                        "version",
                        version,
                        "outcome",
                        outcome)
                .increment();
    }

    /**
     * Counts a connection that ended before its request was passed on.
     *
     * @param port name of the port
     * @param cause name of the cause
     */
    void recordRefusedConnection(String port, String cause) {
        registry.counter("redwinghook.connections.refused", "port", port, "cause", cause)
                .increment();
    }

    /**
     * Counts a report of an engine that was read.
     *
     * @param outcome what it said, or {@code failed}
     */
    void recordEngineReport(String outcome) {
        registry.counter("redwinghook.forward.engine.reports", "outcome", outcome.toLowerCase(Locale.ROOT))
                .increment();
    }

    /**
     * Counts a change of what the router assumes about the end of an engine because of its report.
     *
     * @param leaves whether the engine is now expected to leave
     * @param isOwn whether this router read the report
     */
    void recordLeaveNotice(boolean leaves, boolean isOwn) {
        registry.counter(
                        "redwinghook.forward.leave.notices",
                        "state",
                        leaves ? "leaves" : "stays",
                        "reader",
                        isOwn ? "self" : "other")
                .increment();
    }

    /**
     * Counts an event of a roll-out.
     *
     * @param service service that is rolled out
     * @param event kind of event: a phase of the roll-out, or an outcome of a write
     */
    void recordRollout(String service, String event) {
        registry.counter("redwinghook.forward.rollouts", "service", service, "event", event)
                .increment();
    }

    /**
     * Registers the gauges of the waiting requests of a route.
     *
     * @param route name of the route
     * @param number supplies the number of waiting requests of a route
     * @param oldestMillis supplies the time for which the oldest one has waited, in milliseconds
     */
    void registerWaiting(String route, ToDoubleFunction<String> number, ToDoubleFunction<String> oldestMillis) {
        if (routesWithGauges.add(route)) {
            registry.gauge("redwinghook.forward.waiting", Tags.of("route", route), route, number);
            registry.gauge("redwinghook.forward.waiting.oldest.millis", Tags.of("route", route), route, oldestMillis);
        }
    }

    /**
     * Records the end of a wait for capacity.
     *
     * @param route name of the route
     * @param outcome how it ended
     * @param waitedMillis its length, in milliseconds
     */
    void recordWait(String route, String outcome, long waitedMillis) {
        registry.timer("redwinghook.forward.waited", "route", route, "outcome", outcome)
                .record(Duration.ofMillis(waitedMillis));
    }

    /**
     * Compares the estimate for a request with its course.
     *
     * @param service service of the request
     * @param expectedMillis expected time to the first result, in milliseconds
     * @param actualMillis time to the first result, in milliseconds
     */
    void recordEstimate(String service, double expectedMillis, long actualMillis) {
        registry.summary("redwinghook.forward.first.result.expected.millis", "service", service)
                .record(expectedMillis);
        registry.summary("redwinghook.forward.first.result.actual.millis", "service", service)
                .record(actualMillis);
    }

    /**
     * Counts a refused request.
     *
     * @param service service of the request
     * @param reason cause of the refusal
     */
    void recordRejection(String service, String reason) {
        registry.counter("redwinghook.forward.rejections", "service", service, "reason", reason)
                .increment();
    }

    /**
     * Counts a resumed stream.
     *
     * @param service service of the stream
     * @param origin where its software version was found, or why it was refused
     */
    void recordResumedStream(String service, String origin) {
        registry.counter("redwinghook.forward.resumed.streams", "service", service, "origin", origin)
                .increment();
    }

    /**
     * Counts a change of the trust in the store.
     *
     * @param isTrusted whether it is trusted now
     */
    void recordStoreTrust(boolean isTrusted) {
        registry.counter("redwinghook.forward.store.trust", "state", isTrusted ? "trusted" : "distrusted")
                .increment();
    }

    /**
     * Records the era of the store.
     *
     * @param era the newest era that the store has named
     */
    void recordStoreEra(long era) {
        storeEra.set(era);
    }

    /**
     * Counts a notice that an endpoint gave in a response.
     *
     * @param service service of the endpoint
     * @param notice kind of notice: leaving or pause
     */
    void recordNotice(String service, String notice) {
        registry.counter("redwinghook.forward.endpoint.notices", "service", service, "notice", notice)
                .increment();
    }

    /**
     * Counts a request that was answered before a service was chosen.
     *
     * @param status status of the answer
     */
    void recordEarlyRejection(int status) {
        registry.counter("redwinghook.forward.early.rejections", "status", Integer.toString(status))
                .increment();
    }

    private Timer timer(String name, String service) {
        return Timer.builder(name)
                .tag("service", service)
                .publishPercentileHistogram()
                .minimumExpectedValue(MINIMUM_EXPECTED_DURATION)
                .maximumExpectedValue(MAXIMUM_EXPECTED_DURATION)
                .register(registry);
    }
}
