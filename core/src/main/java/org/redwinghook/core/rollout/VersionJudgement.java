package org.redwinghook.core.rollout;

import java.util.Collection;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Decides from the evidence of all routers whether a version is bad. Load: versions some of whose responses fail or take
 * several times as long, from the start, later, under load or on one route, while the old version has failures and slow
 * responses of its own. Few of the machines are on trial at a time, and they differ in speed.
 */
final class VersionJudgement {

    /** Bad responses of the old version that are assumed before there are any, for each unit of the factor. */
    private static final double PRIOR_BAD = 0.5;

    /** Responses among which they are assumed, divided by the factor. */
    private static final double PRIOR_RESPONSES = 100;

    /** Share above which the old version is no comparison. */
    private static final double MAXIMUM_TOLERATED_SHARE = 0.9;

    /** Bad responses below which a version is never bad. */
    private static final long MINIMUM_BAD = 3;

    /** Route that stands for all routes together. */
    private static final String ALL_ROUTES = "all";

    private VersionJudgement() {}

    /** Certainty of a judgement. */
    enum Certainty {
        /** The bad responses are hardly chance. */
        VERDICT(1e-4, 2, MINIMUM_BAD),
        /** The same if only recent responses are considered, which is done many times. */
        RECENT_VERDICT(2e-5, 2, MINIMUM_BAD),
        /** The bad responses may be chance, but the version must not receive all requests on this evidence. */
        SUSPICION(0.05, 1, 1),
        /** The same for recent failures. Responses that were slow for a short time are no reason to wait. */
        RECENT_SUSPICION(1e-3, 1, 3) {
            @Override
            boolean considers(Kind kind) {
                return kind == Kind.FAILURES;
            }
        };

        private final double minimumInformation;
        private final double toleratedFactor;
        private final long minimumBad;

        /**
         * Creates a certainty.
         *
         * @param chance probability of as many bad responses by chance
         * @param toleratedFactor multiple of the old version's share of failures that a version may have
         * @param minimumBad bad responses below which there is no judgement
         */
        Certainty(double chance, double toleratedFactor, long minimumBad) {
            this.minimumBad = minimumBad;
            this.minimumInformation = -Math.log(chance);
            this.toleratedFactor = toleratedFactor;
        }

        boolean considers(Kind kind) {
            return true;
        }
    }

    /** Kind of bad responses. */
    enum Kind {
        FAILURES(VersionCounts::failures, 0.005, 1),
        /** Machines that are slow for a while are no fault of a version. */
        SLOW(VersionCounts::slow, 0.08, 2);

        private final ToLongFunction<VersionCounts> number;
        private final double minimumToleratedShare;
        private final double minimumFactor;

        Kind(ToLongFunction<VersionCounts> number, double minimumToleratedShare, double minimumFactor) {
            this.number = number;
            this.minimumToleratedShare = minimumToleratedShare;
            this.minimumFactor = minimumFactor;
        }

        private double toleratedShare(VersionCounts oldVersion, Certainty certainty) {
            double factor = Math.max(minimumFactor, certainty.toleratedFactor);
            double bad = number.applyAsLong(oldVersion) + PRIOR_BAD * factor;
            double share = factor * bad / (oldVersion.ended() + PRIOR_RESPONSES / factor);
            return Math.min(MAXIMUM_TOLERATED_SHARE, Math.max(minimumToleratedShare, share));
        }

        /** Whether the bad responses are improbable at a tolerated share, by Chernoff's bound on the binomial tail. */
        private boolean isBad(VersionCounts counts, double toleratedShare, Certainty certainty) {
            long bad = number.applyAsLong(counts);
            double share = (double) bad / Math.max(1, counts.ended());
            if (share <= toleratedShare || bad < certainty.minimumBad || !certainty.considers(this)) {
                return false;
            }
            double divergence = share * Math.log(share / toleratedShare);
            if (share < 1) {
                divergence += (1 - share) * Math.log((1 - share) / (1 - toleratedShare));
            }
            return counts.ended() * divergence > certainty.minimumInformation;
        }
    }

    /**
     * Why a version is bad.
     *
     * @param routes evidence of all routers by route
     * @param certainty certainty that the judgement needs
     * @return the reason with its evidence, null unless the version is bad
     */
    static @Nullable String badBecause(Collection<RouteEvidence> routes, Certainty certainty) {
        for (Kind kind : Kind.values()) {
            VersionCounts newOnAll = VersionCounts.NONE;
            VersionCounts oldOnAll = VersionCounts.NONE;
            double tolerated = 0;
            for (RouteEvidence evidence : routes) {
                double toleratedShare = kind.toleratedShare(evidence.oldVersion(), certainty);
                if (kind.isBad(evidence.newVersion(), toleratedShare, certainty)) {
                    return describe(evidence.route(), evidence.newVersion(), evidence.oldVersion());
                }
                newOnAll = newOnAll.plus(evidence.newVersion());
                oldOnAll = oldOnAll.plus(evidence.oldVersion());
                tolerated += evidence.newVersion().ended() * toleratedShare;
            }
            if (newOnAll.ended() > 0 && kind.isBad(newOnAll, tolerated / newOnAll.ended(), certainty)) {
                return describe(ALL_ROUTES, newOnAll, oldOnAll);
            }
        }
        return null;
    }

    private static String describe(String route, VersionCounts newVersion, VersionCounts oldVersion) {
        return "route=%s failures=%d slow=%d of=%d oldFailures=%d oldSlow=%d oldOf=%d"
                .formatted(
                        route,
                        newVersion.failures(),
                        newVersion.slow(),
                        newVersion.ended(),
                        oldVersion.failures(),
                        oldVersion.slow(),
                        oldVersion.ended());
    }
}
