package org.redwinghook.experiments.policy;

/** A plain server whose calls slow each other down, and which is slow after a start. */
final class FakePlainServer implements FakeEndpoint {

    /** Calls that run beside each other at full speed. */
    private static final int PARALLEL_CALLS = 8;

    private static final int WARM_AFTER_CALLS = 200;
    private static final double COLD_FACTOR = 6;

    private final EventQueue events;
    private final EndpointObserver observer;
    private int running;
    private int served;

    FakePlainServer(EventQueue events, EndpointObserver observer) {
        this.events = events;
        this.observer = observer;
    }

    @Override
    public void start(RequestRun run) {
        running++;
        double cold = served >= WARM_AFTER_CALLS ? 1 : COLD_FACTOR;
        double crowded = Math.max(1, (double) running / PARALLEL_CALLS);
        events.after((long) (run.request().serviceMicros() * cold * crowded), () -> answer(run));
    }

    @Override
    public void turnCold() {
        served = 0;
    }

    private void answer(RequestRun run) {
        running--;
        served++;
        run.token(events.nowMicros());
        observer.token(run);
        observer.finished(run);
    }
}
