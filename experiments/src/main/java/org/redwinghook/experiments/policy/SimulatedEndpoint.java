package org.redwinghook.experiments.policy;

import java.util.HashMap;
import java.util.Map;

import org.redwinghook.core.admission.AdmissionDecision;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.EndpointLoad;

/** An endpoint together with its admission, as in a sidecar. */
final class SimulatedEndpoint implements EndpointObserver {

    private static final long QUEUE_CHECK_INTERVAL_MICROS = 50_000;

    private final EventQueue events;
    private final String vm;
    private final int dataCentre;
    private final boolean isPlain;
    private final FakeEndpoint fakeEndpoint;
    private final EndpointAdmission admission;
    private final RunListener listener;
    private final Map<Long, RequestRun> waitingRuns = new HashMap<>();
    private boolean isAccepting = true;

    SimulatedEndpoint(
            EventQueue events,
            String vm,
            int dataCentre,
            boolean isPlain,
            EndpointAdmission admission,
            RunListener listener) {
        this.events = events;
        this.vm = vm;
        this.dataCentre = dataCentre;
        this.isPlain = isPlain;
        this.fakeEndpoint = isPlain ? new FakePlainServer(events, this) : new FakeEngine(events, this);
        this.admission = admission;
        this.listener = listener;
        events.scheduleAfter(QUEUE_CHECK_INTERVAL_MICROS, this::checkQueue);
    }

    String vm() {
        return vm;
    }

    int dataCentre() {
        return dataCentre;
    }

    boolean isPlain() {
        return isPlain;
    }

    boolean isAccepting() {
        return isAccepting;
    }

    EndpointLoad load() {
        return admission.load(isAccepting, events.nowMillis());
    }

    void offer(RequestRun run) {
        if (!isAccepting) {
            listener.onRefused(this, run);
            return;
        }
        AdmissionDecision decision = admission.offer(createWorkItem(run));
        switch (decision) {
            case ADMITTED -> fakeEndpoint.start(run);
            case QUEUED -> waitingRuns.put(run.request().identifier(), run);
            case QUEUE_FULL, WAIT_TOO_LONG -> listener.onRefused(this, run);
            default -> throw new IllegalStateException("unknown admission decision");
        }
    }

    void leaveService() {
        isAccepting = false;
        for (Long identifier : waitingRuns.keySet().stream().sorted().toList()) {
            if (admission.cancelWaiting(identifier)) {
                listener.onRefused(this, waitingRuns.remove(identifier));
            }
        }
    }

    void returnToService() {
        isAccepting = true;
        fakeEndpoint.turnCold();
        admission.recordRestart(events.nowMillis());
    }

    /** Discards the warm state without informing the admission or the routers. */
    void turnCold() {
        fakeEndpoint.turnCold();
    }

    @Override
    public void onToken(RequestRun run) {
        admission.recordToken(run.request().identifier(), events.nowMillis());
        listener.onToken(run);
    }

    @Override
    public void onCompleted(RequestRun run) {
        admission.recordEnd(run.request().identifier(), true, events.nowMillis());
        listener.onCompleted(this, run);
        admitWaiting();
    }

    @Override
    public void onFailed(RequestRun run) {
        admission.recordEnd(run.request().identifier(), false, events.nowMillis());
        listener.onFailed(this, run);
    }

    @Override
    public void onCrashed() {
        admission.recordRestart(events.nowMillis());
        listener.onCrashed();
    }

    @Override
    public void onPreempted(RequestRun run) {
        listener.onPreempted(run);
    }

    private void checkQueue() {
        for (WorkItem item : admission.removeExpired(events.nowMillis())) {
            listener.onRefused(this, waitingRuns.remove(item.identifier()));
        }
        admitWaiting();
        events.scheduleAfter(QUEUE_CHECK_INTERVAL_MICROS, this::checkQueue);
    }

    private void admitWaiting() {
        for (WorkItem item : admission.admitWaiting(events.nowMillis())) {
            fakeEndpoint.start(waitingRuns.remove(item.identifier()));
        }
    }

    private WorkItem createWorkItem(RequestRun run) {
        TraceRequest request = run.request();
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
