package org.redwinghook.experiments.policy;

import java.util.HashMap;
import java.util.Map;

import org.redwinghook.core.admission.AdmissionDecision;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.EndpointLoad;

/** An endpoint with its admission, as the sidecar's gate joins them. */
final class SimulatedEndpoint implements EndpointObserver {

    private static final long CHECK_MICROS = 50_000;

    private final EventQueue events;
    private final String vm;
    private final int dataCentre;
    private final boolean plain;
    private final FakeEndpoint endpoint;
    private final EndpointAdmission admission;
    private final RunListener listener;
    private final Map<Long, RequestRun> waiting = new HashMap<>();
    private boolean accepting = true;

    SimulatedEndpoint(
            EventQueue events,
            String vm,
            int dataCentre,
            boolean plain,
            EndpointAdmission admission,
            RunListener listener) {
        this.events = events;
        this.vm = vm;
        this.dataCentre = dataCentre;
        this.plain = plain;
        this.endpoint = plain ? new FakePlainServer(events, this) : new FakeEngine(events, this);
        this.admission = admission;
        this.listener = listener;
        events.after(CHECK_MICROS, this::check);
    }

    String vm() {
        return vm;
    }

    int dataCentre() {
        return dataCentre;
    }

    boolean plain() {
        return plain;
    }

    boolean accepting() {
        return accepting;
    }

    EndpointLoad load() {
        return admission.load(accepting, events.nowMillis());
    }

    void offer(RequestRun run) {
        if (!accepting) {
            listener.refused(this, run);
            return;
        }
        AdmissionDecision decision = admission.offer(item(run));
        switch (decision) {
            case ADMITTED -> endpoint.start(run);
            case QUEUED -> waiting.put(run.request().identifier(), run);
            case REFUSED -> listener.refused(this, run);
            default -> throw new IllegalStateException("unknown admission decision");
        }
    }

    void leave() {
        accepting = false;
        for (Long identifier : waiting.keySet().stream().sorted().toList()) {
            if (admission.withdraw(identifier)) {
                listener.refused(this, waiting.remove(identifier));
            }
        }
    }

    void comeBack() {
        accepting = true;
        endpoint.turnCold();
        admission.restarted(events.nowMillis());
    }

    /** The endpoint loses its warm state and nobody is told. */
    void turnCold() {
        endpoint.turnCold();
    }

    @Override
    public void token(RequestRun run) {
        admission.tokenArrived(run.request().identifier(), events.nowMillis());
        listener.token(run);
    }

    @Override
    public void finished(RequestRun run) {
        admission.finished(run.request().identifier(), true, events.nowMillis());
        listener.finished(this, run);
        admitWaiting();
    }

    @Override
    public void failed(RequestRun run) {
        admission.finished(run.request().identifier(), false, events.nowMillis());
        listener.failed(this, run);
    }

    @Override
    public void crashed() {
        admission.restarted(events.nowMillis());
        listener.crashed();
    }

    @Override
    public void preempted(RequestRun run) {
        listener.preempted(run);
    }

    private void check() {
        for (WorkItem item : admission.removeExpired(events.nowMillis())) {
            listener.refused(this, waiting.remove(item.identifier()));
        }
        admitWaiting();
        events.after(CHECK_MICROS, this::check);
    }

    private void admitWaiting() {
        for (WorkItem item : admission.admitWaiting(events.nowMillis())) {
            endpoint.start(waiting.remove(item.identifier()));
        }
    }

    private WorkItem item(RequestRun run) {
        TracedRequest request = run.request();
        return new WorkItem(
                request.identifier(),
                request.owner(),
                request.customer(),
                0,
                request.promptTokens(),
                request.maximumOutputTokens(),
                events.nowMillis(),
                run.deadlineMicros() / 1_000);
    }
}
