package org.redwinghook.experiments.policy;

/** Simulation of a plain server: concurrent calls slow each other down, and calls are slow until the server is warm. */
final class FakePlainServer implements FakeEndpoint {

    /** Maximum number of concurrent calls at full speed. */
    private static final int PARALLEL_CALLS = 8;

    private static final int WARM_UP_CALLS = 200;
    private static final double COLD_SLOWDOWN_FACTOR = 6;

    private final EventQueue events;
    private final EndpointObserver observer;
    private int runningCalls;
    private int completedCalls;

    FakePlainServer(EventQueue events, EndpointObserver observer) {
        this.events = events;
        this.observer = observer;
    }

    @Override
    public void start(RequestRun run) {
        runningCalls++;
        double coldFactor = completedCalls >= WARM_UP_CALLS ? 1 : COLD_SLOWDOWN_FACTOR;
        double contentionFactor = Math.max(1, (double) runningCalls / PARALLEL_CALLS);
        events.scheduleAfter(
                (long) (run.request().serviceMicros() * coldFactor * contentionFactor), () -> complete(run));
    }

    @Override
    public void turnCold() {
        completedCalls = 0;
    }

    private void complete(RequestRun run) {
        runningCalls--;
        completedCalls++;
        run.recordToken(events.nowMicros());
        observer.onToken(run);
        observer.onCompleted(run);
    }
}
