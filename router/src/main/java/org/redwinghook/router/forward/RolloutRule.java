package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEligibility;
import org.redwinghook.core.forward.EndpointRule;
import org.redwinghook.core.forward.EndpointTable;
import org.redwinghook.core.forward.Exclusion;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.forward.RequestScope;
import org.redwinghook.core.rollout.RolloutDecision;
import org.redwinghook.core.rollout.TrialGroup;
import org.redwinghook.core.rollout.VersionChoice;

/**
 * Keeps requests to the versions that a roll-out allows them. If none of the endpoints of the version that was chosen for
 * a request may take it, another version may as far as the roll-out allows.
 */
final class RolloutRule implements EndpointRule {

    private final RolloutTracker tracker;
    private final EndpointTable endpoints;
    private final EndpointEligibility eligibility;
    private @Nullable RequestScope decidedScope;
    private long decidedAtMillis;
    private Set<String> allowedIds = Set.of();
    private boolean isDeciding;

    /**
     * Creates the rule.
     *
     * @param tracker roll-outs of the services
     * @param endpoints known endpoints
     * @param eligibility all conditions, of which this rule is one
     */
    RolloutRule(RolloutTracker tracker, EndpointTable endpoints, EndpointEligibility eligibility) {
        this.tracker = tracker;
        this.endpoints = endpoints;
        this.eligibility = eligibility;
    }

    @Override
    public @Nullable Exclusion check(KnownEndpoint endpoint, RequestScope scope, long nowMillis) {
        if (isDeciding || tracker.isIdle()) {
            return null;
        }
        if (tracker.unfinishedVersions(scope.service())
                .contains(endpoint.entry().version())) {
            return Exclusion.VERSION_NOT_ALLOWED;
        }
        ServiceRollout rollout = tracker.find(scope.service());
        if (rollout == null) {
            return null;
        }
        if (scope != decidedScope || nowMillis != decidedAtMillis) {
            decidedScope = scope;
            decidedAtMillis = nowMillis;
            allowedIds = decide(rollout, scope, nowMillis);
        }
        return allowedIds.contains(endpoint.entry().id()) ? null : Exclusion.VERSION_NOT_ALLOWED;
    }

    private Set<String> decide(ServiceRollout rollout, RequestScope scope, long nowMillis) {
        List<KnownEndpoint> newOnes = new ArrayList<>();
        List<KnownEndpoint> oldOnes = new ArrayList<>();
        Set<String> unfinished = tracker.unfinishedVersions(scope.service());
        for (KnownEndpoint endpoint : endpoints.usableEndpoints(scope.service())) {
            if (rollout.isNewVersion(endpoint)) {
                newOnes.add(endpoint);
            } else if (!unfinished.contains(endpoint.entry().version())) {
                oldOnes.add(endpoint);
            }
        }
        RolloutDecision decision = rollout.decision();
        if (decision.order().to().equals(scope.requiredVersion())) {
            return decision.mayContinueAtNewVersion(scope.route(), nowMillis)
                    ? eligible(newOnes, scope, nowMillis)
                    : Set.of();
        }
        TrialGroup group = rollout.trialGroup(newOnes, oldOnes, nowMillis);
        boolean isRetry = !scope.triedEndpoints().isEmpty();
        VersionChoice choice = decision.choose(scope.requestId(), scope.route(), isRetry, group, nowMillis);
        if (choice == VersionChoice.TRIAL) {
            newOnes.removeIf(
                    endpoint -> !group.members().contains(endpoint.entry().id()));
        }
        Set<String> preferred = eligible(choice.prefersNew() ? newOnes : oldOnes, scope, nowMillis);
        if (!preferred.isEmpty() || !choice.allowsOther()) {
            return preferred;
        }
        return eligible(choice.prefersNew() ? oldOnes : newOnes, scope, nowMillis);
    }

    /** Identifiers of the endpoints to which all other rules allow the request. */
    private Set<String> eligible(List<KnownEndpoint> candidates, RequestScope scope, long nowMillis) {
        Set<String> ids = new HashSet<>();
        isDeciding = true;
        try {
            for (KnownEndpoint endpoint : candidates) {
                if (eligibility.exclusion(endpoint, scope, nowMillis) == null) {
                    ids.add(endpoint.entry().id());
                }
            }
        } finally {
            isDeciding = false;
        }
        return ids;
    }
}
