package org.redwinghook.core.placement;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
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
    /** Work reported by each other router, the latest report last. */
    private final Map<String, PeerWork> workByPeer = new LinkedHashMap<>();

    /** Sum over the routers whose reports have not expired, so that a lookup does not depend on their number. */
    private final Map<String, WorkTotals> peerSums = new HashMap<>();

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
        PeerWork peer = workByPeer.remove(router);
        if (peer == null) {
            peer = new PeerWork();
        }
        workByPeer.put(router, peer);
        peer.receivedAtMillis = nowMillis;
        if (!peer.isCounted) {
            peer.isCounted = true;
            peer.totals.forEach(this::addToSum);
        }
        if (isComplete) {
            peer.totals.forEach(this::subtractFromSum);
            peer.totals.clear();
        }
        for (Map.Entry<String, WorkTotals> reported : totals.entrySet()) {
            WorkTotals before = peer.totals.remove(reported.getKey());
            if (before != null) {
                subtractFromSum(reported.getKey(), before);
            }
            if (!reported.getValue().equals(WorkTotals.NONE)) {
                peer.totals.put(reported.getKey(), reported.getValue());
                addToSum(reported.getKey(), reported.getValue());
            }
        }
    }

    private void addToSum(String endpoint, WorkTotals work) {
        peerSums.merge(endpoint, work, WorkTotals::plus);
    }

    private void subtractFromSum(String endpoint, WorkTotals work) {
        WorkTotals rest = peerSums.getOrDefault(endpoint, WorkTotals.NONE).minus(work);
        if (rest.equals(WorkTotals.NONE)) {
            peerSums.remove(endpoint);
        } else {
            peerSums.put(endpoint, rest);
        }
    }

    private void removeExpired(long nowMillis) {
        for (PeerWork peer : workByPeer.values()) {
            if (nowMillis - peer.receivedAtMillis <= MAXIMUM_PEER_TOTALS_AGE_MILLIS) {
                return;
            }
            if (peer.isCounted) {
                peer.isCounted = false;
                peer.totals.forEach(this::subtractFromSum);
            }
        }
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
        removeExpired(nowMillis);
        return sum(ownRequests.getOrDefault(endpointId, Set.of()))
                .plus(peerSums.getOrDefault(endpointId, WorkTotals.NONE));
    }

    /**
     * Work of each other router at an endpoint.
     *
     * @param endpointId the endpoint
     * @param nowMillis current monotonic time
     * @return work by router, without routers that have none there or whose reports have expired
     */
    public Map<String, WorkTotals> workOfOtherRouters(String endpointId, long nowMillis) {
        removeExpired(nowMillis);
        Map<String, WorkTotals> workByRouter = new HashMap<>();
        workByPeer.forEach((router, peer) -> {
            WorkTotals work = peer.totals.get(endpointId);
            if (peer.isCounted && work != null) {
                workByRouter.put(router, work);
            }
        });
        return workByRouter;
    }

    private static WorkTotals sum(Set<RunningRequest> running) {
        return running.stream().map(RunningRequest::work).reduce(WorkTotals.NONE, WorkTotals::plus);
    }

    /** Work of another router at each endpoint. */
    private static final class PeerWork {

        private final Map<String, WorkTotals> totals = new HashMap<>();
        private long receivedAtMillis;
        private boolean isCounted;
    }
}
