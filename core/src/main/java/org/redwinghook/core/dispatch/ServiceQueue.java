package org.redwinghook.core.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.placement.Candidate;

/**
 * Requests of one service that wait for capacity. Load: bursts of 2.3 times the usual rate of long generations beside
 * short ones with a nearer objective, at engines that the requests of several routers share. Times are milliseconds of a
 * monotonic clock.
 *
 * <p>Order: priority, requests that can still meet their objective, fair rounds of customers, nearest objective, less
 * work. A level that is passed over gets a share of the capacity.
 */
public final class ServiceQueue {

    /** Maximum number of kinds of requests that are examined without success while the queue is served. */
    private static final int MAXIMUM_BLOCKED_KINDS = 24;

    /** Number of endpoints from which on those that received nothing for long are forgotten. */
    private static final int MAXIMUM_REMEMBERED_ENDPOINTS = 1_000;

    /** Time after which it no longer matters that an endpoint received a request, in milliseconds. */
    private static final long REMEMBERED_MILLIS = 10_000;

    /** Levels of each priority: requests that can still meet their objective, and those that cannot. */
    private static final int LEVELS_PER_PRIORITY = 2;

    private final TreeMap<Long, QueueLevel> levels = new TreeMap<>();
    private final Map<DispatchRequest, WaitingEntry> entries = new IdentityHashMap<>();
    private final CustomerShares shares = new CustomerShares();
    private final UrgentDemand urgentDemand = new UrgentDemand();

    /** Time at which each endpoint last received a request from this queue. */
    private final Map<String, Long> sentAtMillisByEndpoint = new HashMap<>();

    private long sequence;

    /**
     * Adds a request.
     *
     * @param request the request
     * @param nowMillis current time
     */
    public void add(DispatchRequest request, long nowMillis) {
        if (request.rule() == CapacityRule.GENERATION) {
            urgentDemand.record(request, nowMillis);
        }
        shares.expire(nowMillis);
        WaitingEntry entry = new WaitingEntry(request, shares.of(request.customer()), sequence++);
        entry.share().changeWaiting(1);
        entries.put(request, entry);
        level(request, entry.isLate(nowMillis)).entries().add(entry);
    }

    /**
     * Removes a request that no longer waits. Has no effect if it was removed before.
     *
     * @param request the request
     */
    public void remove(DispatchRequest request) {
        WaitingEntry entry = entries.remove(request);
        if (entry == null) {
            return;
        }
        entry.share().changeWaiting(-1);
        for (QueueLevel level : levels.values()) {
            if (level.entries().remove(entry)) {
                break;
            }
        }
        levels.values().removeIf(level -> level.entries().isEmpty());
    }

    /**
     * Removes the last request in the order.
     *
     * @return the request, null if none waits
     */
    public @Nullable DispatchRequest removeLast() {
        if (levels.isEmpty()) {
            return null;
        }
        WaitingEntry last = levels.lastEntry().getValue().last();
        if (last == null) {
            return null;
        }
        remove(last.request());
        return last.request();
    }

    /**
     * Number of waiting requests.
     *
     * @return the number
     */
    public int size() {
        return entries.size();
    }

    /**
     * Begins to serve the queue.
     *
     * @param source endpoints that requests may be sent to
     * @param nowMillis current time
     * @return supplies the decisions
     */
    public Pass serve(CandidateSource source, long nowMillis) {
        for (QueueLevel level : List.copyOf(levels.values())) {
            for (WaitingEntry late : level.removeLate(nowMillis)) {
                level(late.request(), true).entries().add(late);
            }
        }
        return new Pass(source, nowMillis);
    }

    /**
     * Expected time until an endpoint has capacity for a request.
     *
     * @param request the request, whether it waits or not
     * @param source endpoints that it may be sent to
     * @param nowMillis current time
     * @return the time in milliseconds, 0 if there is capacity now; infinite if no endpoint may take the request
     */
    public double capacityMillis(DispatchRequest request, CandidateSource source, long nowMillis) {
        List<Candidate> candidates = source.candidates(request);
        ExpectedDemand urgent = urgentDemand.moreUrgentThan(
                request.priority(), source.endpointsOfUrgentRequests(request, candidates), source.routers(), nowMillis);
        double shortestMillis = Double.POSITIVE_INFINITY;
        for (Candidate candidate : candidates) {
            shortestMillis = Math.min(shortestMillis, request.rule().waitMillis(candidate, request, urgent, nowMillis));
        }
        return shortestMillis * (1 + (double) size() / Math.max(1, candidates.size()));
    }

    private QueueLevel level(DispatchRequest request, boolean isLate) {
        return levels.computeIfAbsent(levelKey(request, isLate), QueueLevel::new);
    }

    private static long levelKey(DispatchRequest request, boolean isLate) {
        return (long) request.priority() * LEVELS_PER_PRIORITY + (isLate ? 1 : 0);
    }

    /** One pass over the queue, valid until its time. */
    public final class Pass {

        private final CandidateSource source;
        private final long nowMillis;
        private final BlockedRequests blocked = new BlockedRequests();

        Pass(CandidateSource source, long nowMillis) {
            this.source = source;
            this.nowMillis = nowMillis;
        }

        /**
         * Decides on the next request that need not wait any longer, and removes it. The work of a request that is sent
         * has to be known to the source before the next call.
         *
         * @return the decision, null if all other requests wait
         */
        public @Nullable DispatchDecision next() {
            while (blocked.size() < MAXIMUM_BLOCKED_KINDS) {
                Selected selected = select();
                if (selected == null) {
                    return null;
                }
                DispatchDecision decision = examine(selected);
                if (decision != null) {
                    remove(decision.request());
                    return decision;
                }
            }
            return null;
        }

        private @Nullable Selected select() {
            Selected first = null;
            for (QueueLevel level : levels.values()) {
                WaitingEntry entry = level.first(waiting -> isConsidered(level, waiting));
                if (entry == null) {
                    continue;
                }
                if (level.isPromoted(entry)) {
                    return new Selected(level, entry, true);
                }
                if (first == null) {
                    first = new Selected(level, entry, false);
                }
            }
            return first;
        }

        private boolean isConsidered(QueueLevel level, WaitingEntry entry) {
            return entry.isUnservable(nowMillis) || !blocked.covers(level, entry, entry.isOverdue(nowMillis));
        }

        private @Nullable DispatchDecision examine(Selected selected) {
            WaitingEntry entry = selected.entry;
            DispatchRequest request = entry.request();
            if (entry.isUnservable(nowMillis)) {
                return new DispatchDecision(request, DispatchOutcome.UNSERVABLE, null);
            }
            List<Candidate> candidates = source.candidates(request);
            if (candidates.isEmpty()) {
                return new DispatchDecision(request, DispatchOutcome.NO_ENDPOINT, null);
            }
            ExpectedDemand urgent = selected.isPromoted
                    ? ExpectedDemand.NONE
                    : urgentDemand.moreUrgentThan(
                            request.priority(),
                            source.endpointsOfUrgentRequests(request, candidates),
                            source.routers(),
                            nowMillis);
            List<BlockedRequests.EndpointWait> waits = new ArrayList<>();
            Optional<Candidate> chosen = choose(request, candidates, urgent, waits);
            if (chosen.isPresent()) {
                recordSent(selected, chosen.get());
                return new DispatchDecision(request, DispatchOutcome.SENT, chosen.get());
            }
            boolean isOverdue = entry.isOverdue(nowMillis);
            chosen = isOverdue ? chooseOverdue(request, candidates) : Optional.empty();
            if (chosen.isPresent()) {
                recordSent(selected, chosen.get());
                return new DispatchDecision(request, DispatchOutcome.SENT_OVERDUE, chosen.get());
            }
            entry.setExamined();
            if (entry.isUnservable(nowMillis)) {
                return new DispatchDecision(request, DispatchOutcome.UNSERVABLE, null);
            }
            int kept = selected.isPromoted ? 1 : countSimilar(selected);
            blocked.add(selected.level, entry, isOverdue, kept, waits);
            return null;
        }

        private Optional<Candidate> chooseOverdue(DispatchRequest request, List<Candidate> candidates) {
            List<Candidate> acceptable = new ArrayList<>();
            for (Candidate candidate : candidates) {
                if (sentMillisAgo(candidate) < request.rule().idleMillis(request)) {
                    return Optional.empty();
                }
                if (request.rule().mayBeSentOverdue(candidate, request)) {
                    acceptable.add(candidate);
                }
            }
            return request.rule().policy().choose(source.sample(acceptable), request.query());
        }

        private long sentMillisAgo(Candidate candidate) {
            Long sentAtMillis = sentAtMillisByEndpoint.get(candidate.id());
            return sentAtMillis == null ? Long.MAX_VALUE : nowMillis - sentAtMillis;
        }

        /**
         * Chooses an endpoint with capacity: the usual choice if it has any, else the best of the sample, else the best of
         * all.
         */
        private Optional<Candidate> choose(
                DispatchRequest request,
                List<Candidate> candidates,
                ExpectedDemand urgent,
                List<BlockedRequests.EndpointWait> waits) {
            List<Candidate> suitable = new ArrayList<>();
            for (Candidate candidate : candidates) {
                double waitMillis = request.rule().waitMillis(candidate, request, urgent, nowMillis);
                waits.add(new BlockedRequests.EndpointWait(candidate, waitMillis));
                if (waitMillis <= 0 && !blocked.isKept(candidate)) {
                    suitable.add(candidate);
                }
            }
            if (suitable.isEmpty()) {
                return Optional.empty();
            }
            Set<Candidate> suitableOnes = Collections.newSetFromMap(new IdentityHashMap<>());
            suitableOnes.addAll(suitable);
            List<Candidate> sample = new ArrayList<>(source.sample(candidates));
            sample.removeIf(candidate -> !suitableOnes.contains(candidate));
            return request.rule().policy().choose(sample.isEmpty() ? suitable : sample, request.query());
        }

        private int countSimilar(Selected selected) {
            int similar = 0;
            for (WaitingEntry entry : selected.level.entries()) {
                if (entry.request().scope().equals(selected.entry.request().scope())) {
                    similar++;
                }
            }
            return similar;
        }

        private void recordSent(Selected selected, Candidate endpoint) {
            long work = selected.entry.work();
            sentAtMillisByEndpoint.put(endpoint.id(), nowMillis);
            if (sentAtMillisByEndpoint.size() > MAXIMUM_REMEMBERED_ENDPOINTS) {
                sentAtMillisByEndpoint.values().removeIf(sentAt -> nowMillis - sentAt > REMEMBERED_MILLIS);
            }
            selected.entry.share().addWork(work);
            selected.level.useCredit(work);
            if (!selected.isPromoted) {
                levels.tailMap(selected.level.key(), false).values().forEach(level -> level.addCredit(work));
            }
        }
    }

    /** A request that is to be examined next. */
    private record Selected(QueueLevel level, WaitingEntry entry, boolean isPromoted) {}
}
