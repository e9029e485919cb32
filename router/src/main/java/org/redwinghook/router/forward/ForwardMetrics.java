package org.redwinghook.router.forward;

import java.time.Duration;

import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.Timer;

/** Counters and latency histograms of forwarded requests. */
final class ForwardMetrics {

    private static final Duration MINIMUM_EXPECTED_DURATION = Duration.ofMillis(5);
    private static final Duration MAXIMUM_EXPECTED_DURATION = Duration.ofSeconds(60);

    private final MeterRegistry registry;

    ForwardMetrics(MeterRegistry registry) {
        this.registry = registry;
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
     * Counts an event of the quarantine of prompt parts.
     *
     * @param event kind of event: suspect, quarantined, trial or released
     */
    void recordQuarantine(String event) {
        registry.counter("redwinghook.forward.quarantine", "event", event).increment();
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
     * Counts a request that was answered before a service was chosen.
     *
     * @param status status of the answer
     */
    void recordRejection(int status) {
        registry.counter("redwinghook.forward.rejections", "status", Integer.toString(status))
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
