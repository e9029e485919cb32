package org.redwinghook.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwinghook.core.length.OutputLengths;
import org.redwinghook.core.message.EndpointLoad;

/**
 * Decides which requests run at one endpoint. Times are milliseconds of a monotonic clock. Not safe for use by several
 * threads.
 */
public final class AdmissionController {

    /** Waiting requests of a class, quick or long, for each slot beyond which new ones are refused. */
    private static final int QUEUE_FACTOR = 4;

    /** One slot of this many is kept free of long requests, so that a quick one finds a slot at once. */
    private static final int SLOTS_PER_RESERVED = 8;

    /**
     * Tokens of one generation that count as a response in the warm-up. Otherwise two long drafts would hold a cold
     * endpoint at its lowest limit for minutes.
     */
    private static final int RESPONSE_TOKENS = 64;

    private final AdmissionSettings settings;
    private final OutputLengths lengths;
    private final WarmUpLimit limit;
    private final MemoryProjection memory;
    private final FairQueue queue;
    private final HoldTime holdTime = new HoldTime();
    private final Map<Long, RunningWork> running = new LinkedHashMap<>();
    private int runningLong;
    private int awaitingFirstToken;
    private long lastTokenMillis;

    /**
     * Creates a controller for an endpoint that has just started.
     *
     * @param settings properties of the endpoint
     * @param lengths learned output lengths of the endpoint's service
     * @param shares weights of owners and customers
     */
    public AdmissionController(AdmissionSettings settings, OutputLengths lengths, FairShares shares) {
        this.settings = settings;
        this.lengths = lengths;
        this.limit = new WarmUpLimit(settings.maximumConcurrency());
        this.memory = new MemoryProjection(settings.memoryTokens(), lengths);
        this.queue = new FairQueue(shares);
    }

    /**
     * Offers a new request.
     *
     * @param item the request
     * @return what happens with it
     */
    public AdmissionDecision offer(WorkItem item) {
        long nowMillis = item.arrivalMillis();
        boolean quick = isQuick(item);
        if (!isSilent(nowMillis) && mayOvertake(quick, nowMillis) && mayRun(item, quick)) {
            queue.enter(item);
            run(item, quick, nowMillis);
            return AdmissionDecision.ADMITTED;
        }
        if (!hasPlace(item, quick)
                || nowMillis + expectedWaitMillis(quick, queue.position(item, quick)) > item.deadlineMillis()) {
            return AdmissionDecision.REFUSED;
        }
        queue.enter(item);
        queue.add(item, quick);
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
        for (Optional<WorkItem> next = nextToRun(nowMillis); next.isPresent(); next = nextToRun(nowMillis)) {
            WorkItem item = next.get();
            boolean quick = queue.isQuick(item);
            queue.take(item, quick);
            run(item, quick, nowMillis);
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
        List<WorkItem> expired = queue.removeExpired(nowMillis);
        expired.forEach(queue::leave);
        return expired;
    }

    /**
     * Removes a waiting request whose caller went away.
     *
     * @param identifier number of the request
     * @return whether it was waiting
     */
    public boolean withdraw(long identifier) {
        Optional<WorkItem> withdrawn = queue.withdraw(identifier);
        withdrawn.ifPresent(queue::leave);
        return withdrawn.isPresent();
    }

    /**
     * Notes tokens of a running generation; the first call for a request gives its first-token time.
     *
     * @param identifier number of the request
     * @param tokens tokens that arrived together
     * @param nowMillis time of arrival
     */
    public void tokensArrived(long identifier, int tokens, long nowMillis) {
        RunningWork work = running.get(identifier);
        if (work == null) {
            return;
        }
        noteTimes(work, nowMillis);
        lastTokenMillis = nowMillis;
        int responses = (work.generated() + tokens) / RESPONSE_TOKENS - work.generated() / RESPONSE_TOKENS;
        work.addTokens(tokens, nowMillis);
        queue.charge(work.item(), tokens);
        for (int response = 0; response < responses; response++) {
            limit.response(running.size());
        }
    }

    /**
     * Notes the end of a running request.
     *
     * @param identifier number of the request
     * @param whole whether the endpoint answered in full
     * @param nowMillis time of the end
     */
    public void finished(long identifier, boolean whole, long nowMillis) {
        RunningWork work = running.remove(identifier);
        if (work == null) {
            return;
        }
        runningLong -= work.quick() ? 0 : 1;
        awaitingFirstToken -= work.awaitsFirstToken() ? 1 : 0;
        queue.ended(work.item());
        if (!whole) {
            return;
        }
        holdTime.ended(work.quick(), nowMillis - work.startMillis());
        if (work.generated() == 0) {
            limit.firstToken(nowMillis - work.startMillis());
        } else {
            lengths.record(work.output(), work.generated());
        }
        limit.response(running.size() + 1);
    }

    /**
     * Notes that the endpoint was started anew or lost its warm state.
     *
     * @param nowMillis time of the observation
     */
    public void endpointRestarted(long nowMillis) {
        limit.turnedCold();
    }

    /**
     * Load of the endpoint for routers.
     *
     * @param accepting whether new work is taken at all
     * @param nowMillis time now
     * @return the load; its expected wait is that of a long request
     */
    public EndpointLoad load(boolean accepting, long nowMillis) {
        return new EndpointLoad(
                running.size(),
                queue.size(),
                limit.limit(),
                memory.share(running.values()),
                expectedWaitMillis(false, queue.size(false) + 1),
                accepting);
    }

    /** A first-token time that includes the prefill of others says little about the endpoint and is left out. */
    private void noteTimes(RunningWork work, long nowMillis) {
        if (!work.awaitsFirstToken()) {
            limit.gap(nowMillis - work.lastTokenMillis());
            return;
        }
        awaitingFirstToken--;
        if (work.startedAlone()) {
            limit.firstToken(nowMillis - work.startMillis());
        }
    }

    private Optional<WorkItem> nextToRun(long nowMillis) {
        if (queue.size() == 0 || running.size() >= limit.limit() || isSilent(nowMillis)) {
            return Optional.empty();
        }
        Optional<WorkItem> longer = queue.next(false, nowMillis);
        boolean aged = queue.isAged(false, nowMillis);
        if (aged && longer.filter(item -> mayRun(item, false)).isPresent()) {
            return longer;
        }
        if (!aged || quickSlotReserved()) {
            Optional<WorkItem> quick = queue.next(true, nowMillis).filter(item -> mayRun(item, true));
            if (quick.isPresent()) {
                return quick;
            }
        }
        return aged ? Optional.empty() : longer.filter(item -> mayRun(item, false));
    }

    /** Whether generations decode but no token came for too long; new work would meet an endpoint that turned cold. */
    private boolean isSilent(long nowMillis) {
        return running.size() > awaitingFirstToken && limit.isSilent(nowMillis - lastTokenMillis);
    }

    /** Whether a new request may start although others wait. */
    private boolean mayOvertake(boolean quick, long nowMillis) {
        if (queue.size() == 0) {
            return true;
        }
        return quick && queue.size(true) == 0 && (!queue.isAged(false, nowMillis) || quickSlotReserved());
    }

    /** While an aged request waits for memory, quick ones use reserved slots only, so that they do not keep it full. */
    private boolean quickSlotReserved() {
        return running.size() - runningLong < reservedSlots();
    }

    /** A full queue still takes requests of customers that have less than their part of it. */
    private boolean hasPlace(WorkItem item, boolean quick) {
        int places = limit.limit() * QUEUE_FACTOR;
        int waiting = queue.size(quick);
        return waiting < places || waiting < 2 * places && queue.hasPlace(item, quick, places);
    }

    /** Quick requests and those of an owner that is crowded out may use the reserves of slots and memory. */
    private boolean mayRun(WorkItem item, boolean quick) {
        boolean reserve = quick || queue.isBelowShare(item);
        int slots = reserve ? limit.limit() : limit.limit() - reservedSlots();
        return running.size() < limit.limit()
                && (quick || runningLong < slots)
                && memory.fits(running.values(), item, reserve);
    }

    private int reservedSlots() {
        return limit.limit() / SLOTS_PER_RESERVED;
    }

    private void run(WorkItem item, boolean quick, long nowMillis) {
        running.put(item.identifier(), new RunningWork(item, quick, awaitingFirstToken == 0, nowMillis));
        awaitingFirstToken++;
        runningLong += quick ? 0 : 1;
        queue.started(item);
        queue.charge(item, Math.max(1, item.promptTokens()));
    }

    private boolean isQuick(WorkItem item) {
        return lengths.expectedRemaining(item.output(), 0) <= settings.quickTokens();
    }

    private long expectedWaitMillis(boolean quick, int position) {
        boolean slotFree = running.size() < limit.limit() && (quick || runningLong < limit.limit() - reservedSlots());
        if (queue.size(quick) == 0 && slotFree && (quick || !memory.isFull(running.values()))) {
            return 0;
        }
        int slots = Math.min(limit.limit(), running.size());
        return quick ? holdTime.waitMillis(position, 0, slots) : holdTime.waitMillis(queue.size(true), position, slots);
    }
}
