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

/** The only way to the endpoint: holds requests until the admission controller lets them run. */
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
     * @param vertx runs the expiry timer
     * @param admission decides
     */
    public EndpointGate(Vertx vertx, AdmissionController admission) {
        this.admission = admission;
        vertx.setPeriodic(EXPIRY_CHECK_INTERVAL_MILLIS, ignored -> refuseExpired());
    }

    /**
     * Offers a request.
     *
     * @param item the request
     * @param start runs it; called at once or later
     * @param refuse tells its router that it is not run; called at once or later, never after start
     */
    public void offer(WorkItem item, Consumer<WorkItem> start, Consumer<String> refuse) {
        if (isVersionChangePending) {
            refuse.accept(VERSION_MISMATCH_DETAIL);
            return;
        }
        switch (admission.offer(item)) {
            case ADMITTED -> run(item, start);
            case QUEUED -> queuedRequests.put(item.identifier(), new QueuedRequest(start, refuse));
            case REFUSED -> refuse.accept("the endpoint's queue is full");
            default -> throw new IllegalStateException("unknown admission decision");
        }
    }

    /**
     * Forgets a waiting request whose caller went away.
     *
     * @param identifier number of the request
     * @return whether it was still waiting
     */
    public boolean cancelWaiting(long identifier) {
        return admission.cancelWaiting(identifier) && queuedRequests.remove(identifier) != null;
    }

    /**
     * Notes a token of a running generation.
     *
     * @param identifier number of the request
     */
    public void recordToken(long identifier) {
        admission.recordTokens(identifier, 1, nowMillis());
    }

    /**
     * Notes the end of a running request.
     *
     * @param identifier number of the request
     * @param isComplete whether the endpoint answered in full
     */
    public void recordEnd(long identifier, boolean isComplete) {
        runningRequests--;
        admission.recordEnd(identifier, isComplete, nowMillis());
        admitWaiting();
        if (runningRequests == 0 && idleListener != null) {
            idleListener.run();
        }
    }

    /** Notes that the endpoint was started anew or refuses connections, so that admission starts cold. */
    public void recordRestart() {
        admission.endpointRestarted(nowMillis());
    }

    /**
     * Load of the endpoint.
     *
     * @return the load
     */
    public EndpointLoad load() {
        return admission.load(isAccepting && !isVersionChangePending, nowMillis());
    }

    /**
     * Whether new work is taken.
     *
     * @return false while leaving
     */
    public boolean isAccepting() {
        return isAccepting;
    }

    /**
     * Adds a listener that is called when the endpoint starts or ceases to take new work.
     *
     * @param listener the listener
     * @return removes it
     */
    public Runnable onAcceptingChanged(Runnable listener) {
        acceptingListeners.add(listener);
        return () -> acceptingListeners.remove(listener);
    }

    /**
     * Sets whether new work is taken. Waiting requests are refused when it no longer is.
     *
     * @param value whether new work is taken
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
     * Sets whether the engine must not get new work before it has another model version. Waiting requests are refused.
     *
     * @param value whether new work is refused
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
     * Whether nothing runs.
     *
     * @return true without running requests
     */
    public boolean isIdle() {
        return runningRequests == 0;
    }

    /**
     * Calls a listener when nothing runs.
     *
     * @param listener called at once or when the last running request ends
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
     * Monotonic time for admission.
     *
     * @return milliseconds
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
