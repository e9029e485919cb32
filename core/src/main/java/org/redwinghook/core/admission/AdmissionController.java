package org.redwinghook.core.admission;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.redwinghook.core.length.OutputLengths;
import org.redwinghook.core.message.EndpointLoad;

/**
 * Decides which requests run at one endpoint. A request is quick if its expected output is short, else it is long.
 * Times are milliseconds of a monotonic clock. Not safe for use by several threads.
 */
public final class AdmissionController {

    /** Queue places of a class, quick or long, for each slot; new requests beyond them are refused. */
    private static final int QUEUE_PLACES_PER_SLOT = 4;

    /** One slot of this many is reserved for quick requests, so that they do not have to wait for long ones. */
    private static final int SLOTS_PER_RESERVED_SLOT = 8;

    /**
     * Tokens of one generation that count as a response in the warm-up. Otherwise two long generations would keep a
     * cold endpoint at its lowest limit for minutes.
     */
    private static final int TOKENS_PER_RESPONSE = 64;

    private final AdmissionSettings settings;
    private final OutputLengths lengths;
    private final WarmUpLimit warmUpLimit;
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
        this.warmUpLimit = new WarmUpLimit(settings.maximumConcurrency());
        this.memory = new MemoryProjection(settings.memoryTokens(), lengths);
        this.queue = new FairQueue(shares);
    }

    /**
     * Offers a new request.
     *
     * @param item the request
     * @return the decision on the request
     */
    public AdmissionDecision offer(WorkItem item) {
        long nowMillis = item.arrivalMillis();
        boolean quick = isQuick(item);
        if (!isStalled(nowMillis) && mayOvertake(quick, nowMillis) && mayRun(item, quick)) {
            queue.enter(item);
            start(item, quick, nowMillis);
            return AdmissionDecision.ADMITTED;
        }
        if (!hasQueuePlace(item, quick)) {
            return AdmissionDecision.QUEUE_FULL;
        }
        if (nowMillis + expectedWaitMillis(quick, queue.position(item, quick)) > item.deadlineMillis()) {
            return AdmissionDecision.WAIT_TOO_LONG;
        }
        queue.enter(item);
        queue.enqueue(item, quick);
        return AdmissionDecision.QUEUED;
    }

    /**
     * Admits waiting requests for which there is capacity now.
     *
     * @param nowMillis current time
     * @return requests to start, in order
     */
    public List<WorkItem> admitWaiting(long nowMillis) {
        List<WorkItem> admitted = new ArrayList<>();
        for (Optional<WorkItem> next = nextToRun(nowMillis); next.isPresent(); next = nextToRun(nowMillis)) {
            WorkItem item = next.get();
            boolean quick = queue.isQuick(item);
            queue.dequeue(item, quick);
            start(item, quick, nowMillis);
            admitted.add(item);
        }
        return admitted;
    }

    /**
     * Removes waiting requests whose callers no longer wait for them.
     *
     * @param nowMillis current time
     * @return the removed requests
     */
    public List<WorkItem> removeExpired(long nowMillis) {
        List<WorkItem> expired = queue.removeExpired(nowMillis);
        expired.forEach(queue::leave);
        return expired;
    }

    /**
     * Cancels a waiting request whose caller has disconnected.
     *
     * @param identifier number of the request
     * @return whether it was waiting
     */
    public boolean cancelWaiting(long identifier) {
        Optional<WorkItem> cancelled = queue.cancel(identifier);
        cancelled.ifPresent(queue::leave);
        return cancelled.isPresent();
    }

    /**
     * Records tokens of a running generation; the first call for a request determines its time to first token.
     *
     * @param identifier number of the request
     * @param tokens tokens that arrived together
     * @param nowMillis time of arrival
     */
    public void recordTokens(long identifier, int tokens, long nowMillis) {
        RunningWork work = running.get(identifier);
        if (work == null) {
            return;
        }
        recordTimes(work, nowMillis);
        lastTokenMillis = nowMillis;
        int responses = (work.generated() + tokens) / TOKENS_PER_RESPONSE - work.generated() / TOKENS_PER_RESPONSE;
        work.addTokens(tokens, nowMillis);
        queue.charge(work.item(), tokens);
        for (int response = 0; response < responses; response++) {
            warmUpLimit.recordResponse(running.size());
        }
    }

    /**
     * Records the end of a running request.
     *
     * @param identifier number of the request
     * @param isComplete whether the endpoint's response is complete
     * @param nowMillis time of the end
     */
    public void recordEnd(long identifier, boolean isComplete, long nowMillis) {
        RunningWork work = running.remove(identifier);
        if (work == null) {
            return;
        }
        runningLong -= work.isQuick() ? 0 : 1;
        awaitingFirstToken -= work.awaitsFirstToken() ? 1 : 0;
        queue.recordEnd(work.item());
        if (!isComplete) {
            return;
        }
        holdTime.recordHoldTime(work.isQuick(), nowMillis - work.startMillis());
        if (work.generated() == 0) {
            warmUpLimit.recordFirstToken(nowMillis - work.startMillis());
        } else {
            lengths.recordOutput(work.output(), work.generated());
        }
        warmUpLimit.recordResponse(running.size() + 1);
    }

    /**
     * Returns to the cold limit after the endpoint was restarted or lost its warm state.
     *
     * @param nowMillis time of the observation
     */
    public void recordRestart(long nowMillis) {
        warmUpLimit.resetToCold();
    }

    /**
     * Load of the endpoint for routers.
     *
     * @param accepting whether new work is accepted at all
     * @param nowMillis current time
     * @return the load; its expected wait is that of a long request
     */
    public EndpointLoad load(boolean accepting, long nowMillis) {
        return new EndpointLoad(
                running.size(),
                queue.size(),
                warmUpLimit.limit(),
                memory.projectedShare(running.values()),
                expectedWaitMillis(false, queue.size(false) + 1),
                accepting);
    }

    /**
     * Records the time to first token or the gap between tokens. A time to first token that includes the prefill of
     * other requests says little about the endpoint and is ignored.
     */
    private void recordTimes(RunningWork work, long nowMillis) {
        if (!work.awaitsFirstToken()) {
            warmUpLimit.recordGap(nowMillis - work.lastTokenMillis());
            return;
        }
        awaitingFirstToken--;
        if (work.startedAlone()) {
            warmUpLimit.recordFirstToken(nowMillis - work.startMillis());
        }
    }

    private Optional<WorkItem> nextToRun(long nowMillis) {
        if (queue.size() == 0 || running.size() >= warmUpLimit.limit() || isStalled(nowMillis)) {
            return Optional.empty();
        }
        Optional<WorkItem> longRequest = queue.next(false, nowMillis);
        boolean aged = queue.isAged(false, nowMillis);
        if (aged && longRequest.filter(item -> mayRun(item, false)).isPresent()) {
            return longRequest;
        }
        if (!aged || hasFreeReservedSlot()) {
            Optional<WorkItem> quickRequest = queue.next(true, nowMillis).filter(item -> mayRun(item, true));
            if (quickRequest.isPresent()) {
                return quickRequest;
            }
        }
        return aged ? Optional.empty() : longRequest.filter(item -> mayRun(item, false));
    }

    /**
     * Whether generations are decoding but no token has arrived for too long: the endpoint has turned cold and should
     * get no new work.
     */
    private boolean isStalled(long nowMillis) {
        return running.size() > awaitingFirstToken && warmUpLimit.isStalled(nowMillis - lastTokenMillis);
    }

    /** Whether a new request may start although others wait. */
    private boolean mayOvertake(boolean quick, long nowMillis) {
        if (queue.size() == 0) {
            return true;
        }
        return quick && queue.size(true) == 0 && (!queue.isAged(false, nowMillis) || hasFreeReservedSlot());
    }

    /**
     * Whether a reserved slot is free for a quick request. While an aged request waits for memory, quick ones use
     * reserved slots only, so that they do not keep the memory full.
     */
    private boolean hasFreeReservedSlot() {
        return running.size() - runningLong < reservedSlots();
    }

    /**
     * Whether a request may be queued. A full queue still accepts requests of customers that use less than their share
     * of it.
     */
    private boolean hasQueuePlace(WorkItem item, boolean quick) {
        int places = warmUpLimit.limit() * QUEUE_PLACES_PER_SLOT;
        int waiting = queue.size(quick);
        return waiting < places || waiting < 2 * places && queue.isBelowShareOfPlaces(item, quick, places);
    }

    /**
     * Whether slots and memory suffice for a request. Quick requests and those of owners that are crowded out may use
     * the reserve.
     */
    private boolean mayRun(WorkItem item, boolean quick) {
        boolean mayUseReserve = quick || queue.isBelowShare(item);
        int slots = mayUseReserve ? warmUpLimit.limit() : warmUpLimit.limit() - reservedSlots();
        return running.size() < warmUpLimit.limit()
                && (quick || runningLong < slots)
                && memory.fits(running.values(), item, mayUseReserve);
    }

    private int reservedSlots() {
        return warmUpLimit.limit() / SLOTS_PER_RESERVED_SLOT;
    }

    private void start(WorkItem item, boolean quick, long nowMillis) {
        running.put(item.identifier(), new RunningWork(item, quick, awaitingFirstToken == 0, nowMillis));
        awaitingFirstToken++;
        runningLong += quick ? 0 : 1;
        queue.recordStart(item);
        queue.charge(item, Math.max(1, item.promptTokens()));
    }

    private boolean isQuick(WorkItem item) {
        return lengths.expectedRemaining(item.output(), 0) <= settings.quickTokens();
    }

    private long expectedWaitMillis(boolean quick, int position) {
        boolean slotFree =
                running.size() < warmUpLimit.limit() && (quick || runningLong < warmUpLimit.limit() - reservedSlots());
        if (queue.size(quick) == 0 && slotFree && (quick || !memory.isFull(running.values()))) {
            return 0;
        }
        int slots = Math.min(warmUpLimit.limit(), running.size());
        return quick ? holdTime.waitMillis(position, 0, slots) : holdTime.waitMillis(queue.size(true), position, slots);
    }
}
