package org.redwinghook.experiments.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.admission.AdmissionDecision;
import org.redwinghook.core.admission.WorkItem;
import org.redwinghook.core.message.EndpointLoad;

/** Baseline admission: first come, first served, up to a limit of reserved tokens. */
final class FifoAdmission implements EndpointAdmission {

    private final long reservableTokens;
    private final Map<Long, WorkItem> running = new HashMap<>();
    private final Deque<WorkItem> waiting = new ArrayDeque<>();
    private long reservedTokens;

    private FifoAdmission(long reservableTokens) {
        this.reservableTokens = reservableTokens;
    }

    /** Admits every request at once. */
    static FifoAdmission unlimited() {
        return new FifoAdmission(Long.MAX_VALUE);
    }

    /** Reserves the prompt tokens and the maximum output tokens of each running generation. */
    static FifoAdmission withTokenLimit(long reservableTokens) {
        return new FifoAdmission(reservableTokens);
    }

    @Override
    public AdmissionDecision offer(WorkItem item) {
        waiting.add(item);
        if (waiting.size() == 1 && fits(item)) {
            waiting.clear();
            admit(item);
            return AdmissionDecision.ADMITTED;
        }
        return AdmissionDecision.QUEUED;
    }

    @Override
    public List<WorkItem> admitWaiting(long nowMillis) {
        List<WorkItem> admitted = new ArrayList<>();
        while (!waiting.isEmpty() && fits(waiting.element())) {
            WorkItem item = waiting.remove();
            admit(item);
            admitted.add(item);
        }
        return admitted;
    }

    @Override
    public List<WorkItem> removeExpired(long nowMillis) {
        List<WorkItem> expired = new ArrayList<>();
        for (Iterator<WorkItem> items = waiting.iterator(); items.hasNext(); ) {
            WorkItem item = items.next();
            if (item.deadlineMillis() <= nowMillis) {
                items.remove();
                expired.add(item);
            }
        }
        return expired;
    }

    @Override
    public boolean cancelWaiting(long identifier) {
        return waiting.removeIf(item -> item.identifier() == identifier);
    }

    @Override
    public void recordToken(long identifier, long nowMillis) {}

    @Override
    public void recordEnd(long identifier, boolean isComplete, long nowMillis) {
        WorkItem item = running.remove(identifier);
        reservedTokens -= item == null ? 0 : tokensToReserve(item);
    }

    @Override
    public void recordRestart(long nowMillis) {}

    @Override
    public EndpointLoad load(boolean accepting, long nowMillis) {
        return new EndpointLoad(running.size(), waiting.size(), FakeEngine.SLOTS, 0, 0, accepting);
    }

    private void admit(WorkItem item) {
        running.put(item.identifier(), item);
        reservedTokens += tokensToReserve(item);
    }

    private boolean fits(WorkItem item) {
        return reservedTokens + tokensToReserve(item) <= reservableTokens;
    }

    private static long tokensToReserve(WorkItem item) {
        return (long) item.promptTokens() + item.maximumOutputTokens();
    }
}
