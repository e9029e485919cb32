package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.rollout.ObservedAttempt;
import org.redwinghook.core.rollout.RolloutDecision;
import org.redwinghook.core.rollout.RolloutPhase;
import org.redwinghook.core.rollout.TrialGroup;

/** A roll-out of one service at this router: its decision, its writer and what was logged. */
final class ServiceRollout {

    private final RolloutDecision decision;
    private final RolloutStatusWriter writer;
    private long supersededOffset;
    private final Map<AttemptKey, ObservedAttempt> attempts = new HashMap<>();
    private Set<String> versionsInUse = Set.of();
    private @Nullable RolloutPhase loggedPhase;
    private int loggedStep;
    private long newestOffset;
    private long reportedAtMillis = Long.MIN_VALUE / 2;
    private int finalReports;
    private @Nullable TrialKey trialKey;
    private @Nullable TrialGroup trialGroup;

    private record TrialKey(List<KnownEndpoint> newOnes, List<KnownEndpoint> oldOnes, double share, long round) {}

    private record AttemptKey(CallerExchange caller, KnownEndpoint endpoint) {}

    ServiceRollout(RolloutDecision decision, RolloutStatusWriter writer, long supersededOffset) {
        this.decision = decision;
        this.writer = writer;
        this.supersededOffset = supersededOffset;
        this.newestOffset = decision.order().offset();
    }

    RolloutDecision decision() {
        return decision;
    }

    RolloutStatusWriter writer() {
        return writer;
    }

    /**
     * Endpoints that take part in the trial now; kept until endpoints, share or round change, since each request needs them.
     *
     * @param newOnes usable endpoints of the new version
     * @param oldOnes usable endpoints of the other versions
     * @param nowMillis current time
     * @return the endpoints
     */
    TrialGroup trialGroup(List<KnownEndpoint> newOnes, List<KnownEndpoint> oldOnes, long nowMillis) {
        TrialKey key = new TrialKey(newOnes, oldOnes, decision.groupShare(nowMillis), decision.round(nowMillis));
        TrialGroup known = trialGroup;
        if (known != null && key.equals(trialKey)) {
            return known;
        }
        TrialGroup group = TrialGroup.of(entries(newOnes), entries(oldOnes), key.share(), key.round());
        trialKey = new TrialKey(List.copyOf(newOnes), List.copyOf(oldOnes), key.share(), key.round());
        trialGroup = group;
        return group;
    }

    private static List<EndpointEntry> entries(List<KnownEndpoint> known) {
        return known.stream().map(KnownEndpoint::entry).toList();
    }

    boolean isNewVersion(KnownEndpoint endpoint) {
        return endpoint.entry().version().equals(decision.order().to());
    }

    void addAttempt(CallerExchange caller, KnownEndpoint endpoint, ObservedAttempt attempt) {
        attempts.put(new AttemptKey(caller, endpoint), attempt);
    }

    @Nullable
    ObservedAttempt findAttempt(CallerExchange caller, KnownEndpoint endpoint) {
        return attempts.get(new AttemptKey(caller, endpoint));
    }

    @Nullable
    ObservedAttempt removeAttempt(CallerExchange caller, KnownEndpoint endpoint) {
        return attempts.remove(new AttemptKey(caller, endpoint));
    }

    /** Versions that served when the order arrived; empty until endpoints are known. */
    Set<String> versionsInUse() {
        return versionsInUse;
    }

    void setVersionsInUse(Set<String> versions) {
        versionsInUse = Set.copyOf(versions);
    }

    /** Records another record with the same order. A lower offset belongs to a log that has begun anew. */
    void recordRepetition(long offset) {
        if (offset < newestOffset) {
            supersededOffset = -1;
        }
        newestOffset = offset;
    }

    /** Begins an era of the store, which may have lost the status. The others are told again when it has the final one. */
    void beginEra(long era) {
        decision.beginEra(era);
        writer.beginEra(era);
        finalReports = 0;
    }

    /** Offset of the newest record with the order. */
    long newestOffset() {
        return newestOffset;
    }

    /** Whether a report belongs to an earlier roll-out of the same version, which another order has replaced. */
    boolean isOutdated(long offset) {
        return offset <= supersededOffset;
    }

    /** Returns whether phase or step differ from those that were logged, and marks them as logged. */
    boolean markLogged(RolloutPhase phase, int step) {
        boolean isChanged = phase != loggedPhase || step != loggedStep;
        loggedPhase = phase;
        loggedStep = step;
        return isChanged;
    }

    long reportedAtMillis() {
        return reportedAtMillis;
    }

    void recordReport(long nowMillis) {
        reportedAtMillis = nowMillis;
        if (decision.isEnded()) {
            finalReports++;
        }
    }

    /** Number of reports that told the others the final state. */
    int finalReports() {
        return finalReports;
    }
}
