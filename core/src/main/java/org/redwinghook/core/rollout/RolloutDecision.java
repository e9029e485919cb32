package org.redwinghook.core.rollout;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.routing.RendezvousHash;

/**
 * One router's view of a roll-out: which version a request may go to, whether the version is good, and what the store has
 * to say about it. Load: roll-outs of 12 s to some minutes to versions that are bad from the start, later, under load, on
 * one route or slow, on up to 24 routers whose reports are late or lost. Times are milliseconds of a monotonic clock.
 */
public final class RolloutDecision {

    /** Part of the allowance that a trial uses; the steps before the full share use more of it. */
    private static final double TRIAL_FRACTION = 0.5;

    /** The same in the steps. */
    private static final double STEPS_FRACTION = 0.85;

    /** The same for requests that no endpoint of the old version may take. */
    private static final double RESCUE_FRACTION = 0.9;

    /** The same for streams that began at the new version, which no other version may continue. */
    private static final double CONTINUATION_FRACTION = 0.95;

    /** Largest share during a trial: few requests may all be needed as evidence. */
    private static final double MAXIMUM_TRIAL_SHARE = 0.5;

    /** Length of a round of a trial, in which the share is sent as a burst to some endpoints, in milliseconds. */
    private static final long ROUND_MILLIS = 4_000;

    /** Time after the order before which the rate of requests is not known, in milliseconds. */
    private static final long RATE_MILLIS = 500;

    /** Requests from which a route has traffic, so that the version needs good responses on it. */
    private static final long TRAFFIC_REQUESTS = 20;

    /** Good responses on each route with traffic: 1/n of those on all routes. */
    private static final int ROUTE_EVIDENCE_DIVISOR = 4;

    /** Good responses with which a version without bad ones may complete if there are few requests. */
    private static final int LEAST_EVIDENCE = 3;

    /** Slow responses for each good one that the old version may have, too. */
    private static final double TOLERATED_SLOW_SHARE = 0.25;

    /** Requests for each good response that few requests must give. */
    private static final int REQUESTS_PER_EVIDENCE = 4;

    /** Time without a report after which a router without a connection is taken for ended, in milliseconds. */
    private static final long SILENCE_MILLIS = 3_000;

    /** Reports that may be missing before the statement of a router is outdated. */
    private static final long MISSING_REPORTS = 5;

    /** Time for which the end of runs at a bad version is awaited, in milliseconds. */
    private static final long REVERT_WAIT_MILLIS = 3_000;

    private static final String NOT_IN_TIME = "cause=not_in_time";

    private final RolloutOrder order;
    private final RolloutLimits limits;
    private final String self;
    private final RolloutSchedule schedule;
    private final ExposureAllowance allowance;
    private final LocalEvidence local = new LocalEvidence();
    private final MergedEvidence others = new MergedEvidence();
    private final RecentEvidence recent = new RecentEvidence();
    private RolloutRouters routers = new RolloutRouters(Set.of(), Set.of());
    private long startedAtMillis;
    private long shiftedAtMillis = Long.MAX_VALUE;
    private long badAtMillis = Long.MAX_VALUE;
    private final Map<String, Long> shiftMillisByRoute = new HashMap<>();
    private long firstShiftMillis;
    private boolean mayShift;
    private boolean isHeld;
    private boolean isProven;
    private boolean isDrained;
    private boolean isConfirmed;
    private boolean wasConfirmed;
    private boolean runsAtNewVersion;
    private @Nullable String badBecause;
    private final StoredState stored = new StoredState();
    private long sequence;

    /**
     * Starts a roll-out.
     *
     * @param order the order
     * @param limits limits for all routers together
     * @param self name of this router
     * @param isProven whether the version was in use before an order that this one replaces, so that it needs no trial
     * @param nowMillis current time
     */
    public RolloutDecision(RolloutOrder order, RolloutLimits limits, String self, boolean isProven, long nowMillis) {
        this.order = order;
        this.limits = limits;
        this.self = self;
        this.startedAtMillis = nowMillis;
        this.schedule = new RolloutSchedule(order.durationMillis(), limits.steps());
        this.allowance = new ExposureAllowance(limits, order, self);
        this.firstShiftMillis = schedule.shiftMillis(0);
        if (isProven) {
            setProven(nowMillis);
        }
    }

    /**
     * Records that the version needs no trial.
     *
     * @param nowMillis current time
     */
    public void setProven(long nowMillis) {
        if (!isProven && badBecause == null) {
            isProven = true;
            mayShift = true;
            shiftedAtMillis = nowMillis;
        }
    }

    /**
     * Records a run at another version that began before the order.
     *
     * @param route name of its route
     * @param millis its duration
     */
    public void recordRun(String route, long millis) {
        local.recordRun(route, millis);
    }

    /**
     * The order.
     *
     * @return the order that began the roll-out
     */
    public RolloutOrder order() {
        return order;
    }

    /**
     * Records a request of a caller.
     *
     * @param route name of its route
     * @param nowMillis current time
     */
    public void recordRequest(String route, long nowMillis) {
        local.recordRequest(route, nowMillis);
    }

    /**
     * Records the start of an attempt.
     *
     * @param attempt the attempt
     */
    public void recordStart(ObservedAttempt attempt) {
        local.recordStart(attempt);
    }

    /**
     * Records the end of an attempt.
     *
     * @param attempt the attempt
     * @param end how it ended
     * @param sinceStartMillis its duration
     * @param nowMillis current time
     * @return whether it was a bad response of the new version, which other routers have to know at once
     */
    public boolean recordEnd(ObservedAttempt attempt, AttemptEnd end, long sinceStartMillis, long nowMillis) {
        boolean isBadResponse = local.recordEnd(attempt, end, sinceStartMillis, nowMillis, others::times);
        if (isBadResponse) {
            judge(total(), nowMillis);
        }
        return isBadResponse;
    }

    /**
     * Merges the evidence of another router.
     *
     * @param report the evidence
     * @param stateEra era of the store that has the state in the evidence, 0 if it is not known
     * @param nowMillis current time
     * @return whether it was newer than what was known
     */
    public boolean merge(RouterEvidence report, long stateEra, long nowMillis) {
        long badBefore = others.newVersionBad();
        if (report.router().equals(self) || !others.merge(report, nowMillis)) {
            return false;
        }
        startedAtMillis = Math.min(startedAtMillis, nowMillis - report.elapsedMillis());
        if (report.isProven()) {
            setProven(nowMillis);
        }
        if (report.badBecause() != null && !isProven) {
            setBad(report.badBecause(), nowMillis);
        }
        if (report.state() != null) {
            recordState(report.state(), stateEra);
        }
        if (others.newVersionBad() > badBefore) {
            judge(total(), nowMillis);
        }
        return true;
    }

    /**
     * Records the state that the store has.
     *
     * @param state the state; a final one never changes again
     * @param era era of the store in which it was seen, 0 if the store has named none
     */
    public void recordState(RolloutState state, long era) {
        stored.record(state, era);
    }

    /**
     * Begins an era of the store, whose copy may lack the state. The decision stays and the state is written again.
     *
     * @param era the era
     */
    public void beginEra(long era) {
        stored.beginEra(era);
    }

    /**
     * Whether the store may have lost the state.
     *
     * @return true until the state is seen in the present era
     */
    public boolean hasLostState() {
        return stored.isLost();
    }

    /**
     * Era of the state.
     *
     * @return era of the store in which the state was seen last, 0 if it has named none
     */
    public long stateEra() {
        return stored.stateEra();
    }

    /**
     * Whether the store has had the final state.
     *
     * @return true at the end of the roll-out
     */
    public boolean isEnded() {
        return stored.isFinal();
    }

    /**
     * Advances the roll-out; to be called several times a second.
     *
     * @param known the other routers
     * @param runsAtOldVersion whether a request of this router runs or waits at an endpoint of another version
     * @param nowMillis current time
     * @return whether late responses of the new version were found, which other routers have to know at once
     */
    public boolean advance(RolloutRouters known, boolean runsAtOldVersion, long nowMillis) {
        routers = known;
        runsAtNewVersion = local.hasRunning(true);
        others.refreshTimes(nowMillis);
        boolean mayLackComparison = elapsedMillis(nowMillis) >= firstShiftMillis;
        boolean hasOverdue = local.countOutstanding(mayLackComparison, nowMillis, others::times);
        Map<String, RouteEvidence> total = total();
        recent.record(total, nowMillis);
        judge(total, nowMillis);
        if (badBecause != null || isEnded()) {
            return hasOverdue;
        }
        long elapsed = elapsedMillis(nowMillis);
        boolean isFresh = isFresh(nowMillis);
        Collection<RouteEvidence> routes = total.values();
        updateShift(routes, isFresh, nowMillis);
        isDrained = isShifted()
                && isFresh
                && (isDrained || !isHeld)
                && !runsAtOldVersion
                && (isDrained || nowMillis > shiftedAtMillis);
        isConfirmed = isDrained
                && allOthersAreDrained(nowMillis)
                && (isProven || (elapsed >= schedule.writeMillis() && !isHeld && hasEvidence(routes)));
        // A decision that was made in time is carried out late if the store was away.
        wasConfirmed |= isConfirmed;
        if (!wasConfirmed && !isProven && elapsed >= schedule.lastDecisionMillis()) {
            setBad(NOT_IN_TIME, nowMillis);
        }
        return hasOverdue;
    }

    /** Shifts the routes whose runs last until the end; the version has to have proven itself by then. */
    private void updateShift(Collection<RouteEvidence> routes, boolean isFresh, long nowMillis) {
        shiftMillisByRoute.clear();
        routes.forEach(
                counts -> shiftMillisByRoute.put(counts.route(), schedule.shiftMillis(counts.longestRunMillis())));
        firstShiftMillis = shiftMillisByRoute.values().stream()
                .mapToLong(Long::longValue)
                .min()
                .orElse(schedule.shiftMillis(0));
        long lastShiftMillis = shiftMillisByRoute.values().stream()
                .mapToLong(Long::longValue)
                .max()
                .orElse(firstShiftMillis);
        long elapsed = elapsedMillis(nowMillis);
        boolean mayBegin = elapsed >= firstShiftMillis && isFresh && hasEvidence(routes) && !isHeld;
        mayShift |= mayBegin;
        if (mayShift && !isShifted() && elapsed >= lastShiftMillis) {
            shiftedAtMillis = nowMillis;
        }
    }

    private void judge(Map<String, RouteEvidence> total, long nowMillis) {
        if (badBecause != null || isEnded() || isProven) {
            return;
        }
        String reason = VersionJudgement.badBecause(total.values(), VersionJudgement.Certainty.VERDICT);
        if (reason == null) {
            reason = recent.badBecause(total, VersionJudgement.Certainty.RECENT_VERDICT);
        }
        if (reason != null) {
            setBad(reason, nowMillis);
        }
        isHeld = VersionJudgement.badBecause(total.values(), VersionJudgement.Certainty.SUSPICION) != null
                || recent.badBecause(total, VersionJudgement.Certainty.RECENT_SUSPICION) != null;
    }

    private void setBad(String reason, long nowMillis) {
        if (badBecause == null) {
            badBecause = reason;
            badAtMillis = nowMillis;
            isDrained = false;
            isConfirmed = false;
        }
    }

    /**
     * Chooses the versions for a request.
     *
     * @param requestId identifier of the request
     * @param route name of its route
     * @param isRetry whether an endpoint was tried before
     * @param group endpoints that take part in the trial now
     * @param nowMillis current time
     * @return the versions
     */
    public VersionChoice choose(String requestId, String route, boolean isRetry, TrialGroup group, long nowMillis) {
        switch (phase(nowMillis)) {
            case COMPLETE, DRAINED:
                return VersionChoice.NEW;
            case REVERTED, REVERTING:
                return VersionChoice.OLD;
            case SHIFT:
                if (isProven) {
                    return VersionChoice.NEW_BEFORE_OLD;
                }
                return chooseInTrial(requestId, route, isRetry, group, nowMillis);
            default:
                return chooseInTrial(requestId, route, isRetry, group, nowMillis);
        }
    }

    /**
     * Whether a stream that began at the new version may go on there. It is no new request of the trial, so it needs no part
     * of the trial's share, but it counts for the allowance.
     *
     * @param route name of its route
     * @param nowMillis current time
     * @return false if the version was taken back, this router may miss the verdict, or the allowance is used up
     */
    public boolean mayContinueAtNewVersion(String route, long nowMillis) {
        switch (phase(nowMillis)) {
            case COMPLETE, DRAINED:
                return true;
            case REVERTED, REVERTING:
                return false;
            default:
                return isProven
                        || (isFresh(nowMillis) && (hasFullShare(route, nowMillis) || allows(CONTINUATION_FRACTION)));
        }
    }

    private boolean hasFullShare(String route, long nowMillis) {
        return mayShift
                && !isHeld
                && elapsedMillis(nowMillis) >= shiftMillisByRoute.getOrDefault(route, Long.MAX_VALUE);
    }

    private VersionChoice chooseInTrial(
            String requestId, String route, boolean isRetry, TrialGroup group, long nowMillis) {
        if (!isFresh(nowMillis)) {
            return VersionChoice.OLD;
        }
        double fraction = step(nowMillis) == 0 ? TRIAL_FRACTION : STEPS_FRACTION;
        double point = RendezvousHash.position(RendezvousHash.hash(requestId), order.to());
        if (hasFullShare(route, nowMillis)) {
            return VersionChoice.NEW_BEFORE_OLD;
        }
        if (!isRetry && point < share(group, nowMillis) && allows(fraction)) {
            return VersionChoice.TRIAL;
        }
        return allows(RESCUE_FRACTION) ? VersionChoice.OLD_BEFORE_NEW : VersionChoice.OLD;
    }

    private boolean allows(double fraction) {
        return allowance.allows(
                fraction,
                new ExposureAllowance.Use(local.requests(), local.exposed()),
                new ExposureAllowance.Use(others.requests(), others.exposed()),
                routers.count());
    }

    /** Share of the requests that go to the new version now. */
    private double share(TrialGroup group, long nowMillis) {
        int step = step(nowMillis);
        if (step > 0) {
            return schedule.shareOfStep(step);
        }
        double affordable = affordableShare(nowMillis);
        if (affordable >= group.equalShare()) {
            return Math.min(MAXIMUM_TRIAL_SHARE, affordable);
        }
        // The load of each endpoint has to be that of an old one, so the share is sent in bursts.
        boolean isInBurst = elapsedMillis(nowMillis) % ROUND_MILLIS
                < ROUND_MILLIS * affordable / Math.max(group.equalShare(), affordable);
        return isInBurst ? Math.min(MAXIMUM_TRIAL_SHARE, group.equalShare()) : 0;
    }

    /** Share of this router's requests for which its part of the allowance lasts until the shift. */
    private double affordableShare(long nowMillis) {
        long elapsed = elapsedMillis(nowMillis);
        double rate = (double) local.requests() / Math.max(RATE_MILLIS, elapsed);
        double expected = rate * Math.max(0, firstShiftMillis - elapsed);
        double part = allowance.ownPart(TRIAL_FRACTION, local.requests() + expected, routers.count());
        return Math.max(0, part - local.exposed()) / Math.max(1, expected);
    }

    /**
     * Round of the trial, which decides which endpoints take part in it.
     *
     * @param nowMillis current time
     * @return the number of the round
     */
    public long round(long nowMillis) {
        return elapsedMillis(nowMillis) / ROUND_MILLIS;
    }

    /**
     * Share that determines how many endpoints take part in the trial.
     *
     * @param nowMillis current time
     * @return the mean share of the phase
     */
    public double groupShare(long nowMillis) {
        int step = step(nowMillis);
        return step == 0 ? limits.exposureShare() * TRIAL_FRACTION : schedule.shareOfStep(step);
    }

    /**
     * Step between the trial and the full share.
     *
     * @param nowMillis current time
     * @return 0 during the trial
     */
    public int step(long nowMillis) {
        return schedule.step(elapsedMillis(nowMillis), firstShiftMillis);
    }

    /**
     * Phase of the roll-out.
     *
     * @param nowMillis current time
     * @return the phase at this router
     */
    public RolloutPhase phase(long nowMillis) {
        if (isEnded()) {
            return stored.state() == RolloutState.COMPLETE ? RolloutPhase.COMPLETE : RolloutPhase.REVERTED;
        }
        if (badBecause != null) {
            return RolloutPhase.REVERTING;
        }
        if (isDrained) {
            return RolloutPhase.DRAINED;
        }
        if (isShifted()) {
            return RolloutPhase.SHIFT;
        }
        return step(nowMillis) == 0 ? RolloutPhase.TRIAL : RolloutPhase.STEPS;
    }

    /**
     * Status that the store has to have.
     *
     * @param nowMillis current time
     * @return the status, null if the store has it
     */
    public @Nullable RolloutState wantedState(long nowMillis) {
        if (isEnded()) {
            return stored.isLost() ? stored.state() : null;
        }
        if (badBecause == null) {
            return isConfirmed ? RolloutState.COMPLETE : running();
        }
        boolean isUsed = runsAtNewVersion
                || others.newestOfAll().stream()
                        .anyMatch(report -> report.usesNewVersion()
                                && others.ageMillis(report.router(), nowMillis) < statementMillis());
        boolean mayWait = nowMillis - badAtMillis < REVERT_WAIT_MILLIS
                && elapsedMillis(nowMillis) < schedule.lastDecisionMillis();
        return isUsed && mayWait ? running() : RolloutState.REVERTED;
    }

    private @Nullable RolloutState running() {
        return stored.state() == null || stored.isLost() ? RolloutState.RUNNING : null;
    }

    /**
     * What the other routers need to know.
     *
     * @param incarnation start of this router
     * @param nowMillis current time
     * @return the evidence of this router
     */
    public RouterEvidence report(long incarnation, long nowMillis) {
        sequence++;
        return new RouterEvidence(
                self,
                incarnation,
                sequence,
                elapsedMillis(nowMillis),
                local.exposed(),
                !isDrained,
                local.hasRunning(true),
                isProven,
                badBecause,
                stored.state(),
                local.routes());
    }

    /**
     * Evidence for the log.
     *
     * @param nowMillis current time
     * @return counts of all routers by route, and exposure
     */
    public String describe(long nowMillis) {
        StringBuilder text = new StringBuilder();
        text.append("requests=").append(local.requests() + others.requests());
        text.append(" exposed=").append(local.exposed() + others.exposed());
        text.append(" firstShiftMillis=").append(firstShiftMillis);
        text.append(" bad=\"").append(badBecause == null ? "no" : badBecause).append('"');
        total().forEach((route, counts) -> text.append(" route=")
                .append(route)
                .append(" old=")
                .append(describe(counts.oldVersion()))
                .append(" new=")
                .append(describe(counts.newVersion())));
        return text.toString();
    }

    private static String describe(VersionCounts counts) {
        return counts.ended() + "/" + counts.failures() + "/" + counts.slow();
    }

    /**
     * Time since the order.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, by the router that learned of the order first
     */
    public long elapsedMillis(long nowMillis) {
        return nowMillis - startedAtMillis;
    }

    private Map<String, RouteEvidence> total() {
        return others.total(local.routes());
    }

    private boolean isShifted() {
        return shiftedAtMillis != Long.MAX_VALUE;
    }

    /** Whether the version has enough good responses for all requests. */
    private boolean hasEvidence(Collection<RouteEvidence> routes) {
        long good =
                routes.stream().mapToLong(counts -> counts.newVersion().good()).sum();
        long failures = routes.stream()
                .mapToLong(counts -> counts.newVersion().failures())
                .sum();
        long slow =
                routes.stream().mapToLong(counts -> counts.newVersion().slow()).sum();
        long requests = routes.stream().mapToLong(RouteEvidence::requests).sum();
        long onEachRoute = Math.max(1, limits.evidence() / ROUTE_EVIDENCE_DIVISOR);
        if (good >= limits.evidence() && hasGoodOnRoutesWithTraffic(routes, onEachRoute)) {
            return true;
        }
        long least = Math.max(1, Math.min(LEAST_EVIDENCE, requests / REQUESTS_PER_EVIDENCE));
        return failures == 0
                && slow <= good * TOLERATED_SLOW_SHARE
                && good >= least
                && hasGoodOnRoutesWithTraffic(routes, 1);
    }

    private static boolean hasGoodOnRoutesWithTraffic(Collection<RouteEvidence> routes, long least) {
        return routes.stream()
                .filter(counts -> counts.requests() >= TRAFFIC_REQUESTS)
                .allMatch(counts -> counts.newVersion().good() >= least);
    }

    /** Whether at least half of the other routers have reported recently; the rest may have ended. */
    private boolean isFresh(long nowMillis) {
        long fresh = routers.registered().stream()
                .filter(router -> others.ageMillis(router, nowMillis) <= freshnessMillis())
                .count();
        return fresh >= routers.registered().size() / 2;
    }

    private boolean allOthersAreDrained(long nowMillis) {
        return routers.registered().stream().allMatch(router -> isDrainedOrEnded(router, nowMillis));
    }

    private boolean isDrainedOrEnded(String router, long nowMillis) {
        RouterEvidence report = others.newest(router);
        long age = Math.min(others.ageMillis(router, nowMillis), elapsedMillis(nowMillis));
        if (report != null && age <= statementMillis()) {
            return !report.usesOldVersion();
        }
        return !routers.connected().contains(router) && age > SILENCE_MILLIS;
    }

    /**
     * Interval at which this router reports. It grows with the number of routers, which bounds their messages.
     *
     * @return the interval in milliseconds
     */
    public long reportIntervalMillis() {
        return Math.max(limits.reportIntervalMillis(), routers.count() * limits.reportIntervalMillis() / 64);
    }

    private long freshnessMillis() {
        return Math.max(limits.freshnessMillis(), MISSING_REPORTS * reportIntervalMillis());
    }

    private long statementMillis() {
        return MISSING_REPORTS * reportIntervalMillis();
    }
}
