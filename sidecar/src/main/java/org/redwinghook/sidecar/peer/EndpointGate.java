package org.redwinghook.sidecar.peer;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.admission.AdmissionController;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.runtime.admin.StateSource;

/** Passes all requests to the endpoint; queues them until the admission controller admits them. */
public final class EndpointGate implements StateSource {

    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 50;
    private static final String VERSION_MISMATCH_DETAIL = "the engine has another model version than desired";

    private final AdmissionController admission;
    private final Map<Long, QueuedRequest> queuedRequests = new HashMap<>();
    private final Set<Runnable> acceptingListeners = new LinkedHashSet<>();
    private boolean isAccepting = true;
    private boolean isVersionChangePending;
    private @Nullable Runnable idleListener;
    private int runningRequests;

    /**
     * Creates a gate.
     *
     * @param vertx Vert.x instance of the process
     * @param admission decides when requests run
     */
    public EndpointGate(Vertx vertx, AdmissionController admission) {
        this.admission = admission;
        vertx.setPeriodic(EXPIRY_CHECK_INTERVAL_MILLIS, ignored -> refuseExpired());
    }

    /**
     * Runs, queues or refuses a request.
     *
     * @param item the request
     * @param start runs the request; called immediately or later
     * @param refuse receives the reason if the request is not run; called immediately or later, never after start
     */
    public void offer(WorkItem item, Consumer<WorkItem> start, Consumer<String> refuse) {
        if (isVersionChangePending) {
            refuse.accept(VERSION_MISMATCH_DETAIL);
            return;
        }
        switch (admission.offer(item)) {
            case ADMITTED -> run(item, start);
            case QUEUED -> queuedRequests.put(item.identifier(), new QueuedRequest(start, refuse));
            case QUEUE_FULL -> refuse.accept("the endpoint's queue is full");
            case WAIT_TOO_LONG -> refuse.accept("the expected wait at the endpoint exceeds the timeout");
            default -> throw new IllegalStateException("unknown admission decision");
        }
    }

    /**
     * Removes a waiting request whose caller has left.
     *
     * @param identifier identifier of the request
     * @return whether it was still waiting
     */
    public boolean cancelWaiting(long identifier) {
        return admission.cancelWaiting(identifier) && queuedRequests.remove(identifier) != null;
    }

    /**
     * Records a token of a running generation.
     *
     * @param identifier identifier of the request
     */
    public void recordToken(long identifier) {
        admission.recordTokens(identifier, 1, nowMillis());
    }

    /**
     * Records the end of a running request.
     *
     * @param identifier identifier of the request
     * @param isComplete whether the endpoint sent the complete answer
     */
    public void recordEnd(long identifier, boolean isComplete) {
        runningRequests--;
        admission.recordEnd(identifier, isComplete, nowMillis());
        admitWaiting();
        if (runningRequests == 0 && idleListener != null) {
            idleListener.run();
        }
    }

    /** Records that the endpoint has restarted or refuses connections, so that admission treats it as cold. */
    public void recordRestart() {
        admission.recordRestart(nowMillis());
    }

    /**
     * Current load of the endpoint.
     *
     * @return the load
     */
    public EndpointLoad load() {
        return admission.load(isAccepting && !isVersionChangePending, nowMillis());
    }

    /**
     * Whether the endpoint accepts new work.
     *
     * @return false while the endpoint is leaving
     */
    public boolean isAccepting() {
        return isAccepting;
    }

    /**
     * Adds a listener that is called when the endpoint starts or stops accepting new work.
     *
     * @param listener the listener
     * @return removes the listener when run
     */
    public Runnable onAcceptingChanged(Runnable listener) {
        acceptingListeners.add(listener);
        return () -> acceptingListeners.remove(listener);
    }

    /**
     * Sets whether the endpoint accepts new work. If not, waiting requests are refused.
     *
     * @param value whether new work is accepted
     */
    public void setAccepting(boolean value) {
        boolean changed = isAccepting != value;
        isAccepting = value;
        if (changed) {
            List.copyOf(acceptingListeners).forEach(Runnable::run);
        }
        if (isAccepting) {
            return;
        }
        refuseWaiting("the endpoint is leaving");
    }

    /**
     * Sets whether new work must wait for another model version of the engine. If so, new and waiting requests are
     * refused.
     *
     * @param value whether the version change is pending
     */
    public void setVersionChangePending(boolean value) {
        if (value == isVersionChangePending) {
            return;
        }
        isVersionChangePending = value;
        if (isVersionChangePending) {
            refuseWaiting(VERSION_MISMATCH_DETAIL);
        }
    }

    /**
     * Whether no request runs.
     *
     * @return true if the number of running requests is 0
     */
    public boolean isIdle() {
        return runningRequests == 0;
    }

    /**
     * Calls a listener when no request runs.
     *
     * @param listener called immediately or when the last running request ends
     */
    public void whenIdle(Runnable listener) {
        idleListener = listener;
        if (runningRequests == 0) {
            listener.run();
        }
    }

    @Override
    public Object state() {
        return load();
    }

    /**
     * Monotonic time.
     *
     * @return the time in milliseconds
     */
    public static long nowMillis() {
        return System.nanoTime() / 1_000_000;
    }

    private void run(WorkItem item, Consumer<WorkItem> start) {
        runningRequests++;
        start.accept(item);
    }

    private void refuseWaiting(String detail) {
        for (Map.Entry<Long, QueuedRequest> entry : Map.copyOf(queuedRequests).entrySet()) {
            if (cancelWaiting(entry.getKey())) {
                entry.getValue().refuse().accept(detail);
            }
        }
    }

    private void admitWaiting() {
        for (WorkItem item : admission.admitWaiting(nowMillis())) {
            QueuedRequest request = queuedRequests.remove(item.identifier());
            if (request != null) {
                run(item, request.start());
            }
        }
    }

    private void refuseExpired() {
        for (WorkItem item : admission.removeExpired(nowMillis())) {
            QueuedRequest request = queuedRequests.remove(item.identifier());
            if (request != null) {
                request.refuse().accept("the wait at the endpoint exceeded the timeout");
            }
        }
        admitWaiting();
    }

    private record QueuedRequest(Consumer<WorkItem> start, Consumer<String> refuse) {}
}
