package org.redwinghook.core.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.redwinghook.core.placement.Candidate;

/**
 * Requests that found no capacity while a queue is served, and the endpoints that are kept for them. Similar requests
 * are not examined again, and less urgent ones do not take the endpoints where capacity is expected first.
 */
final class BlockedRequests {

    private final List<Blocked> blocked = new ArrayList<>();
    private final Set<String> keptEndpoints = new HashSet<>();

    /** Whether a request needs at least as much as one of the same kind that found no capacity. */
    boolean covers(QueueLevel level, WaitingEntry entry, boolean isOverdue) {
        for (Blocked other : blocked) {
            if (other.level == level && other.isOverdue == isOverdue && other.coversSizeOf(entry.request())) {
                return true;
            }
        }
        return false;
    }

    boolean isKept(Candidate endpoint) {
        return keptEndpoints.contains(endpoint.id());
    }

    /**
     * Adds a request and keeps endpoints for all requests of its kind.
     *
     * @param level its level
     * @param entry the request
     * @param isOverdue whether it was examined as overdue
     * @param waiting number of waiting requests of its kind
     * @param waits endpoints that may take it, with the expected time until they have capacity
     */
    void add(QueueLevel level, WaitingEntry entry, boolean isOverdue, int waiting, List<EndpointWait> waits) {
        blocked.add(new Blocked(level, entry.request(), isOverdue));
        waits.sort(Comparator.comparingDouble(EndpointWait::millis));
        for (EndpointWait wait : waits.subList(0, Math.min(waiting, waits.size()))) {
            keptEndpoints.add(wait.endpoint().id());
        }
    }

    int size() {
        return blocked.size();
    }

    /** An endpoint and the expected time until it has capacity, in milliseconds. */
    record EndpointWait(Candidate endpoint, double millis) {}

    private record Blocked(QueueLevel level, DispatchRequest request, boolean isOverdue) {

        boolean coversSizeOf(DispatchRequest other) {
            return request.rule() == other.rule()
                    && request.query().promptTokens() <= other.query().promptTokens()
                    && request.work() <= other.work()
                    && request.scope().equals(other.scope());
        }
    }
}
