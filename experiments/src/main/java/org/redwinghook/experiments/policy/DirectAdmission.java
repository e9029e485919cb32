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

/** Admission of the baselines: first come, first served within a number of reserved tokens. */
final class DirectAdmission implements EndpointAdmission {

    private final long reservableTokens;
    private final Map<Long, WorkItem> running = new HashMap<>();
    private final Deque<WorkItem> waiting = new ArrayDeque<>();
    private long reservedTokens;

    private DirectAdmission(long reservableTokens) {
        this.reservableTokens = reservableTokens;
    }

    /** Passes everything to the endpoint at once. */
    static DirectAdmission withoutLimit() {
        return new DirectAdmission(Long.MAX_VALUE);
    }

    /** Reserves the prompt and the largest output of each generation. */
    static DirectAdmission reserving(long memoryTokens) {
        return new DirectAdmission(memoryTokens);
    }

    @Override
    public AdmissionDecision offer(WorkItem item) {
        waiting.add(item);
        if (waiting.size() == 1 && fits(item)) {
            waiting.clear();
            run(item);
            return AdmissionDecision.ADMITTED;
        }
        return AdmissionDecision.QUEUED;
    }

    @Override
    public List<WorkItem> admitWaiting(long nowMillis) {
        List<WorkItem> admitted = new ArrayList<>();
        while (!waiting.isEmpty() && fits(waiting.element())) {
            WorkItem item = waiting.remove();
            run(item);
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
    public boolean withdraw(long identifier) {
        return waiting.removeIf(item -> item.identifier() == identifier);
    }

    @Override
    public void tokenArrived(long identifier, long nowMillis) {}

    @Override
    public void finished(long identifier, boolean whole, long nowMillis) {
        WorkItem item = running.remove(identifier);
        reservedTokens -= item == null ? 0 : need(item);
    }

    @Override
    public void restarted(long nowMillis) {}

    @Override
    public EndpointLoad load(boolean accepting, long nowMillis) {
        return new EndpointLoad(running.size(), waiting.size(), FakeEngine.SLOTS, 0, 0, accepting);
    }

    private void run(WorkItem item) {
        running.put(item.identifier(), item);
        reservedTokens += need(item);
    }

    private boolean fits(WorkItem item) {
        return reservedTokens + need(item) <= reservableTokens;
    }

    private static long need(WorkItem item) {
        return (long) item.promptTokens() + item.maximumOutputTokens();
    }
}
