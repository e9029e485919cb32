package org.redwinghook.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * Work at each endpoint: exact for this router, and as last reported for the other routers. It keeps several routers
 * from choosing the same endpoint within one reporting interval of its load. Confined to the router's event loop.
 */
public final class WorkLedger {

    /** Maximum age of a peer's totals, in milliseconds: several reporting intervals. */
    public static final long MAXIMUM_PEER_TOTALS_AGE_MILLIS = 2_000;

    private final Map<String, Set<RunningRequest>> ownRequests = new HashMap<>();
    private final Map<String, PeerTotals> peerTotals = new HashMap<>();

    /**
     * Adds a request that was sent.
     *
     * @param request the request
     */
    public void add(RunningRequest request) {
        ownRequests.computeIfAbsent(request.endpointId(), id -> new HashSet<>()).add(request);
    }

    /**
     * Removes a request that has ended. Has no effect if it was removed before.
     *
     * @param request the request
     */
    public void remove(RunningRequest request) {
        Set<RunningRequest> running = ownRequests.get(request.endpointId());
        if (running == null) {
            return;
        }
        running.remove(request);
        if (running.isEmpty()) {
            ownRequests.remove(request.endpointId());
        }
    }

    /**
     * Updates the work that another router reported.
     *
     * @param router name of the other router
     * @param totals its work by endpoint
     * @param isComplete whether endpoints that are not listed are idle rather than unchanged
     * @param nowMillis current monotonic time
     */
    public void updatePeer(String router, Map<String, WorkTotals> totals, boolean isComplete, long nowMillis) {
        PeerTotals previous = peerTotals.get(router);
        Map<String, WorkTotals> merged =
                isComplete || previous == null ? new HashMap<>() : new HashMap<>(previous.totals());
        totals.forEach((endpoint, work) -> {
            if (work.equals(WorkTotals.NONE)) {
                merged.remove(endpoint);
            } else {
                merged.put(endpoint, work);
            }
        });
        peerTotals.put(router, new PeerTotals(merged, nowMillis));
    }

    /**
     * This router's work.
     *
     * @return work by endpoint, without idle endpoints
     */
    public Map<String, WorkTotals> ownWork() {
        Map<String, WorkTotals> totals = new HashMap<>();
        ownRequests.forEach((endpoint, running) -> totals.put(endpoint, sum(running)));
        return totals;
    }

    /**
     * Work of all routers at an endpoint.
     *
     * @param endpointId the endpoint
     * @param nowMillis current monotonic time
     * @return the work
     */
    public WorkTotals workAt(String endpointId, long nowMillis) {
        WorkTotals total = sum(ownRequests.getOrDefault(endpointId, Set.of()));
        for (PeerTotals peer : peerTotals.values()) {
            if (nowMillis - peer.receivedAtMillis() <= MAXIMUM_PEER_TOTALS_AGE_MILLIS) {
                total = total.plus(peer.totals().getOrDefault(endpointId, WorkTotals.NONE));
            }
        }
        return total;
    }

    /**
     * Work at an endpoint of the routers whose names sort before this one's: they move their generations first.
     *
     * @param self name of this router
     * @param endpointId the endpoint
     * @param nowMillis current monotonic time
     * @return the work
     */
    public WorkTotals workOfEarlierRouters(String self, String endpointId, long nowMillis) {
        WorkTotals total = WorkTotals.NONE;
        for (Map.Entry<String, PeerTotals> peer : peerTotals.entrySet()) {
            boolean recent = nowMillis - peer.getValue().receivedAtMillis() <= MAXIMUM_PEER_TOTALS_AGE_MILLIS;
            if (recent && peer.getKey().compareTo(self) < 0) {
                total = total.plus(peer.getValue().totals().getOrDefault(endpointId, WorkTotals.NONE));
            }
        }
        return total;
    }

    private static WorkTotals sum(Set<RunningRequest> running) {
        return running.stream().map(RunningRequest::work).reduce(WorkTotals.NONE, WorkTotals::plus);
    }

    private record PeerTotals(Map<String, WorkTotals> totals, long receivedAtMillis) {}
}
