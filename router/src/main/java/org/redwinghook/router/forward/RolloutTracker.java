package org.redwinghook.router.forward;

import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.WeakHashMap;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.message.RolloutReport;
import org.redwinghook.core.placement.WorkTotals;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.core.rollout.AttemptEnd;
import org.redwinghook.core.rollout.ObservedAttempt;
import org.redwinghook.core.rollout.RolloutDecision;
import org.redwinghook.core.rollout.RolloutLimits;
import org.redwinghook.core.rollout.RolloutOrder;
import org.redwinghook.core.rollout.RolloutPhase;
import org.redwinghook.core.rollout.RolloutRouters;
import org.redwinghook.core.rollout.RolloutState;
import org.redwinghook.core.routing.RendezvousHash;
import org.redwinghook.runtime.config.ConfigurationPeer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the roll-outs of the services: follows the orders, observes the attempts, exchanges evidence with the other
 * routers and has the status written. Without an order it has no state and no timer. Confined to the event loop.
 */
final class RolloutTracker implements AttemptObserver {

    /** Interval at which decisions advance, in milliseconds. */
    private static final long ADVANCE_INTERVAL_MILLIS = 100;

    /** Shortest time between two reports, in milliseconds. */
    private static final long MINIMUM_REPORT_INTERVAL_MILLIS = 50;

    /** Reports after the end of a roll-out, some of which may be lost. */
    private static final int FINAL_REPORTS = 3;

    private static final Logger LOGGER = LoggerFactory.getLogger(RolloutTracker.class);

    private final RolloutContext context;
    private final ForwardingState state;
    private final RouterExchange exchange;
    private final MonotonicClock clock;
    private final Supplier<RolloutLimits> limits;
    private final String self;
    private final long incarnation;
    private final Map<String, ServiceRollout> rollouts = new HashMap<>();
    private final Map<String, Set<String>> unfinishedVersions = new HashMap<>();
    private final Set<CallerExchange> countedRequests = Collections.newSetFromMap(new WeakHashMap<>());
    private long timer = -1;

    /**
     * Creates a tracker.
     *
     * @param context services that it uses
     * @param limits limits in force; a roll-out keeps those at its order
     * @param self name of this router
     * @param incarnation start of this router
     */
    RolloutTracker(RolloutContext context, Supplier<RolloutLimits> limits, String self, long incarnation) {
        this.context = context;
        this.state = context.state();
        this.exchange = context.exchange();
        this.clock = context.clock();
        this.limits = limits;
        this.self = self;
        this.incarnation = incarnation;
    }

    /** Registers for orders and for the messages of other routers. */
    void start() {
        state.onRollout(this::handleRecord);
        state.onEra(this::handleEra);
        exchange.register(RolloutReport.class, (peer, report) -> handleReport(report));
        exchange.onConnected(this::handleConnected);
    }

    /** Whether no service has a roll-out, so that every request is served as without this part. */
    boolean isIdle() {
        return rollouts.isEmpty() && unfinishedVersions.isEmpty();
    }

    /**
     * Roll-out of a service.
     *
     * @param service name of the service
     * @return the roll-out, null without an order
     */
    @Nullable
    ServiceRollout find(String service) {
        return rollouts.get(service);
    }

    /**
     * Versions of a service that no order and no configuration allows, since their roll-outs did not complete.
     *
     * @param service name of the service
     * @return the versions
     */
    Set<String> unfinishedVersions(String service) {
        return unfinishedVersions.getOrDefault(service, Set.of());
    }

    private void handleRecord(OperatorRecord.Rollout rollout) {
        ServiceRollout current = rollouts.get(rollout.service());
        RolloutOrder order = rollout.order();
        if (order != null && current != null && current.decision().order().to().equals(order.to())) {
            current.recordRepetition(order.offset());
            LOGGER.info(
                    "rollout order repeated service={} to={} offset={}", order.service(), order.to(), order.offset());
            return;
        }
        boolean isProven = order != null && current != null && isInUse(current, order.to());
        if (current != null) {
            end(current);
        }
        if (order != null) {
            // A lower offset belongs to a log that has begun anew, so that the offsets cannot be compared.
            boolean isComparable = current != null && current.newestOffset() < order.offset();
            begin(order, isProven, isComparable ? current.newestOffset() : -1);
        }
    }

    private boolean isInUse(ServiceRollout current, String version) {
        return current.decision().phase(clock.millis()) != RolloutPhase.COMPLETE
                && current.versionsInUse().contains(version);
    }

    /** Ends a roll-out whose order was replaced or removed. */
    private void end(ServiceRollout rollout) {
        RolloutOrder order = rollout.decision().order();
        rollout.writer().stop();
        rollouts.remove(order.service());
        if (rollout.decision().phase(clock.millis()) != RolloutPhase.COMPLETE) {
            addUnfinishedVersion(order.service(), order.to());
        }
        LOGGER.info("rollout order gone service={} to={} {}", order.service(), order.to(), describe(rollout));
    }

    private void addUnfinishedVersion(String service, String version) {
        unfinishedVersions.computeIfAbsent(service, name -> new HashSet<>()).add(version);
    }

    private void begin(RolloutOrder order, boolean isProven, long supersededOffset) {
        removeUnfinishedVersion(order.service(), order.to());
        RolloutDecision decision = new RolloutDecision(order, limits.get(), self, isProven, clock.millis());
        decision.beginEra(state.era());
        RolloutStatusWriter writer = new RolloutStatusWriter(
                context.store(),
                order,
                clock,
                () -> wantedState(decision),
                (stored, era) -> handleStoredState(order, stored, era),
                version -> handleUnfinishedRollout(order, version));
        ServiceRollout rollout = new ServiceRollout(decision, writer, supersededOffset);
        rollouts.put(order.service(), rollout);
        LOGGER.info(
                "rollout started service={} to={} durationMillis={} offset={} proven={}",
                order.service(),
                order.to(),
                order.durationMillis(),
                order.offset(),
                isProven);
        advance(rollout);
        startTimer();
    }

    /** A state that the store may have lost is written again only if the order is still the newest one in its new log. */
    private @Nullable RolloutState wantedState(RolloutDecision decision) {
        if (decision.hasLostState() && !state.replica(RecordTopic.OPERATORS).isComplete()) {
            return null;
        }
        return decision.wantedState(clock.millis());
    }

    private void handleEra(long era) {
        if (rollouts.isEmpty()) {
            return;
        }
        rollouts.values().forEach(rollout -> rollout.beginEra(era));
        startTimer();
    }

    private void removeUnfinishedVersion(String service, String version) {
        Set<String> versions = unfinishedVersions.get(service);
        if (versions != null && versions.remove(version) && versions.isEmpty()) {
            unfinishedVersions.remove(service);
        }
    }

    private void handleStoredState(RolloutOrder order, RolloutState stored, long era) {
        ServiceRollout rollout = rollouts.get(order.service());
        if (rollout == null || rollout.decision().order() != order) {
            return;
        }
        rollout.decision().recordState(stored, era);
        log(rollout);
        report(rollout);
        startTimer();
    }

    /** Handles the status of an earlier roll-out that did not complete, which this router may not have seen. */
    private void handleUnfinishedRollout(RolloutOrder order, String version) {
        ServiceRollout rollout = rollouts.get(order.service());
        if (rollout == null || rollout.decision().order() != order) {
            return;
        }
        addUnfinishedVersion(order.service(), version);
        rollout.setVersionsInUse(currentVersions(order));
    }

    private Set<String> listedVersions(String service) {
        Set<String> versions = new HashSet<>();
        for (EndpointEntry entry : state.endpoints().entries()) {
            if (entry.service().equals(service)) {
                versions.add(entry.version());
            }
        }
        return versions;
    }

    private void startTimer() {
        if (timer < 0) {
            timer = context.vertx().setPeriodic(ADVANCE_INTERVAL_MILLIS, ignored -> advanceAll());
        }
    }

    void advanceAll() {
        rollouts.values().forEach(this::advance);
        for (String service : Set.copyOf(unfinishedVersions.keySet())) {
            removeGoneVersions(service);
        }
        boolean isOver = rollouts.values().stream().allMatch(RolloutTracker::isOver)
                && rollouts.keySet().containsAll(unfinishedVersions.keySet());
        if (isOver) {
            context.vertx().cancelTimer(timer);
            timer = -1;
        }
    }

    /** Forgets the versions of a service without an order once none of their endpoints is listed. */
    private void removeGoneVersions(String service) {
        Set<String> versions = unfinishedVersions.get(service);
        if (rollouts.containsKey(service) || versions == null) {
            return;
        }
        versions.retainAll(listedVersions(service));
        if (versions.isEmpty()) {
            unfinishedVersions.remove(service);
        }
    }

    private static boolean isOver(ServiceRollout rollout) {
        RolloutDecision decision = rollout.decision();
        return decision.isEnded() && !decision.hasLostState() && rollout.finalReports() >= FINAL_REPORTS;
    }

    private void advance(ServiceRollout rollout) {
        if (isOver(rollout)) {
            return;
        }
        RolloutDecision decision = rollout.decision();
        long now = clock.millis();
        if (rollout.versionsInUse().isEmpty()) {
            Set<String> others = currentVersions(decision.order());
            rollout.setVersionsInUse(others);
            if (others.isEmpty()
                    && listedVersions(decision.order().service())
                            .contains(decision.order().to())) {
                // There is no other version, so that a trial could only refuse requests.
                decision.setProven(now);
            }
        }
        boolean isUrgent = decision.advance(
                new RolloutRouters(registeredRouters(), exchange.connectedRouters()), runsElsewhere(rollout), now);
        log(rollout);
        if (isUrgent || now - rollout.reportedAtMillis() >= decision.reportIntervalMillis()) {
            report(rollout);
        }
        rollout.writer().advance(rank(decision.order()));
    }

    private Set<String> currentVersions(RolloutOrder order) {
        Set<String> versions = listedVersions(order.service());
        versions.remove(order.to());
        versions.removeAll(unfinishedVersions(order.service()));
        return versions;
    }

    private Set<String> registeredRouters() {
        Set<String> names = new HashSet<>();
        for (VersionedRecord record : state.replica(RecordTopic.ROUTERS).allRecords()) {
            boolean isRouter = record.value() != null && !VersionRecords.isVersionRecord(record);
            if (isRouter && !record.key().equals(self)) {
                names.add(record.key());
            }
        }
        return names;
    }

    /** Whether a request of this router runs at an endpoint of another version. */
    private boolean runsElsewhere(ServiceRollout rollout) {
        RolloutOrder order = rollout.decision().order();
        for (Map.Entry<String, WorkTotals> work : context.ledger().ownWork().entrySet()) {
            boolean isElsewhere = state.endpoints()
                    .find(work.getKey())
                    .filter(endpoint ->
                            endpoint.entry().service().equals(order.service()) && !rollout.isNewVersion(endpoint))
                    .isPresent();
            if (isElsewhere && work.getValue().running() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Number of connected routers that write the status of a service before this one. */
    private int rank(RolloutOrder order) {
        long key = RendezvousHash.hash(order.service());
        long own = RendezvousHash.score(key, self);
        return (int) exchange.connectedRouters().stream()
                .filter(router -> RendezvousHash.score(key, router) > own)
                .count();
    }

    private void handleReport(RolloutReport report) {
        ServiceRollout rollout = rollouts.get(report.service());
        if (rollout == null) {
            return;
        }
        if (!rollout.decision().order().to().equals(report.to())) {
            if (report.order() > rollout.newestOffset()) {
                // Another router has a newer order already, whose status must not be replaced.
                rollout.writer().yieldToNewerOrder();
            }
            return;
        }
        if (rollout.isOutdated(report.order())
                || !rollout.decision().merge(report.evidence(), report.stateEra(), clock.millis())) {
            return;
        }
        log(rollout);
        if (!exchange.isFullyConnected()) {
            exchange.broadcast(report);
        }
    }

    private void handleConnected(ConfigurationPeer peer) {
        rollouts.values().forEach(rollout -> peer.send(createReport(rollout)));
    }

    private void report(ServiceRollout rollout) {
        rollout.recordReport(clock.millis());
        exchange.broadcast(createReport(rollout));
    }

    private RolloutReport createReport(ServiceRollout rollout) {
        RolloutOrder order = rollout.decision().order();
        return new RolloutReport(
                order.service(),
                order.to(),
                rollout.newestOffset(),
                rollout.decision().report(incarnation, clock.millis()),
                rollout.decision().stateEra());
    }

    private void log(ServiceRollout rollout) {
        RolloutDecision decision = rollout.decision();
        long now = clock.millis();
        RolloutPhase phase = decision.phase(now);
        if (!rollout.markLogged(phase, decision.step(now))) {
            return;
        }
        LOGGER.info(
                "rollout phase service={} to={} phase={} step={} {}",
                decision.order().service(),
                decision.order().to(),
                phase,
                decision.step(now),
                describe(rollout));
        context.metrics().recordRollout(decision.order().service(), phase.name().toLowerCase(Locale.ROOT));
    }

    private String describe(ServiceRollout rollout) {
        long now = clock.millis();
        return "elapsedMillis=" + rollout.decision().elapsedMillis(now) + " "
                + rollout.decision().describe(now);
    }

    @Override
    public void handleStart(CallerExchange caller, KnownEndpoint endpoint) {
        ServiceRollout rollout = rollouts.get(endpoint.entry().service());
        if (rollout == null || rollout.decision().isEnded()) {
            return;
        }
        long now = clock.millis();
        if (countedRequests.add(caller)) {
            rollout.decision().recordRequest(caller.route().name(), now);
        }
        ObservedAttempt attempt = new ObservedAttempt(
                caller.route().name(),
                endpoint.entry().incarnation(),
                rollout.isNewVersion(endpoint),
                endpoint.isCold(now),
                now);
        rollout.decision().recordStart(attempt);
        rollout.addAttempt(caller, endpoint, attempt);
    }

    @Override
    public void handleFirstEvent(CallerExchange caller, KnownEndpoint endpoint, long sinceStartMillis) {
        ObservedAttempt attempt = findAttempt(caller, endpoint);
        if (attempt != null) {
            attempt.recordFirstEvent(sinceStartMillis);
        }
    }

    @Override
    public void handleNextEvent(CallerExchange caller, KnownEndpoint endpoint, long gapMillis) {
        ObservedAttempt attempt = findAttempt(caller, endpoint);
        if (attempt != null) {
            attempt.recordNextEvent(gapMillis);
        }
    }

    private @Nullable ObservedAttempt findAttempt(CallerExchange caller, KnownEndpoint endpoint) {
        ServiceRollout rollout = rollouts.get(endpoint.entry().service());
        return rollout == null ? null : rollout.findAttempt(caller, endpoint);
    }

    @Override
    public void handleEnd(
            CallerExchange caller, KnownEndpoint endpoint, AttemptOutcome outcome, long sinceStartMillis) {
        ServiceRollout rollout = rollouts.get(endpoint.entry().service());
        if (rollout == null) {
            return;
        }
        context.metrics()
                .recordVersionAttempt(
                        endpoint.entry().service(),
                        endpoint.entry().version(),
                        outcome.name().toLowerCase(Locale.ROOT));
        ObservedAttempt attempt = rollout.removeAttempt(caller, endpoint);
        if (attempt == null) {
            if (!rollout.isNewVersion(endpoint) && outcome == AttemptOutcome.SUCCEEDED) {
                rollout.decision().recordRun(caller.route().name(), sinceStartMillis);
            }
            return;
        }
        long now = clock.millis();
        boolean isBad = rollout.decision().recordEnd(attempt, endOf(outcome, endpoint), sinceStartMillis, now);
        if (isBad) {
            log(rollout);
        }
        if (isBad && now - rollout.reportedAtMillis() >= MINIMUM_REPORT_INTERVAL_MILLIS) {
            report(rollout);
        }
    }

    /** An endpoint that leaves may break connections without a fault of its version. */
    private static AttemptEnd endOf(AttemptOutcome outcome, KnownEndpoint endpoint) {
        return switch (outcome) {
            case SUCCEEDED -> AttemptEnd.COMPLETED;
            case FAILED -> AttemptEnd.FAILED;
            case BROKEN -> endpoint.isLeaving() ? AttemptEnd.WITHDRAWN : AttemptEnd.BROKEN;
            case WITHDRAWN -> AttemptEnd.WITHDRAWN;
            case NOT_RUN, UNREACHABLE -> AttemptEnd.NOT_RUN;
        };
    }
}
