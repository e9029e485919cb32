package org.redwinghook.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.message.EndpointLoad;

/**
 * Decides which requests run at one endpoint. Times are milliseconds of a monotonic clock. Not safe for use by several
 * threads.
 */
public final class AdmissionController {

    /** Waiting requests for each slot beyond which new ones are refused. */
    private static final int QUEUE_FACTOR = 4;

    private final int concurrencyLimit;
    private final Map<Long, WorkItem> running = new HashMap<>();
    private final ArrayDeque<WorkItem> waiting = new ArrayDeque<>();

    /**
     * Creates a controller.
     *
     * @param concurrencyLimit requests that a warm endpoint runs at once
     */
    public AdmissionController(int concurrencyLimit) {
        this.concurrencyLimit = concurrencyLimit;
    }

    /**
     * Offers a new request.
     *
     * @param item the request
     * @return what happens with it
     */
    public AdmissionDecision offer(WorkItem item) {
        if (running.size() < concurrencyLimit && waiting.isEmpty()) {
            running.put(item.identifier(), item);
            return AdmissionDecision.ADMITTED;
        }
        if (waiting.size() >= concurrencyLimit * QUEUE_FACTOR) {
            return AdmissionDecision.REFUSED;
        }
        waiting.add(item);
        return AdmissionDecision.QUEUED;
    }

    /**
     * Admits waiting requests for which there is room now.
     *
     * @param nowMillis time now
     * @return requests to start, in order
     */
    public List<WorkItem> admitWaiting(long nowMillis) {
        List<WorkItem> admitted = new ArrayList<>();
        while (running.size() < concurrencyLimit && !waiting.isEmpty()) {
            WorkItem item = waiting.remove();
            running.put(item.identifier(), item);
            admitted.add(item);
        }
        return admitted;
    }

    /**
     * Removes waiting requests whose callers no longer wait.
     *
     * @param nowMillis time now
     * @return the removed requests
     */
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

    /**
     * Removes a waiting request whose caller went away.
     *
     * @param identifier number of the request
     * @return whether it was waiting
     */
    public boolean withdraw(long identifier) {
        return waiting.removeIf(item -> item.identifier() == identifier);
    }

    /**
     * Notes tokens of a running generation.
     *
     * @param identifier number of the request
     * @param tokens tokens that arrived together
     * @param nowMillis time of arrival
     */
    public void tokensArrived(long identifier, int tokens, long nowMillis) {}

    /**
     * Notes the end of a running request.
     *
     * @param identifier number of the request
     * @param whole whether the endpoint answered in full
     * @param nowMillis time of the end
     */
    public void finished(long identifier, boolean whole, long nowMillis) {
        running.remove(identifier);
    }

    /**
     * Notes that the endpoint was started anew or lost its warm state.
     *
     * @param nowMillis time of the observation
     */
    public void endpointRestarted(long nowMillis) {}

    /**
     * Load of the endpoint for routers.
     *
     * @param accepting whether new work is taken at all
     * @param nowMillis time now
     * @return the load
     */
    public EndpointLoad load(boolean accepting, long nowMillis) {
        return new EndpointLoad(running.size(), waiting.size(), concurrencyLimit, 0, 0, accepting);
    }
}
