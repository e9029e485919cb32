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

    /** Multiple of the old version's share of bad responses that a good version may have by chance or by its machines. */
    private static final double TOLERATED_FACTOR = 2;

    /** Responses of the old version that its share is assumed to be known from before there are any. */
    private static final double PRIOR_RESPONSES = 50;

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
        VERDICT(1e-4),
        /** The bad responses may be chance, but the version must not receive all requests on this evidence. */
        SUSPICION(0.03);

        private final double minimumInformation;

        Certainty(double chance) {
            this.minimumInformation = -Math.log(chance);
        }
    }

    private enum Kind {
        FAILURES(VersionCounts::failures, 0.005),
        /** Machines that are slow for a while are no fault of a version. */
        SLOW(VersionCounts::slow, 0.08);

        private final ToLongFunction<VersionCounts> number;
        private final double minimumToleratedShare;

        Kind(ToLongFunction<VersionCounts> number, double minimumToleratedShare) {
            this.number = number;
            this.minimumToleratedShare = minimumToleratedShare;
        }

        private double toleratedShare(VersionCounts oldVersion) {
            double share =
                    TOLERATED_FACTOR * (number.applyAsLong(oldVersion) + 1) / (oldVersion.ended() + PRIOR_RESPONSES);
            return Math.min(MAXIMUM_TOLERATED_SHARE, Math.max(minimumToleratedShare, share));
        }

        /** Whether the bad responses are improbable at a tolerated share, by Chernoff's bound on the binomial tail. */
        private boolean isBad(VersionCounts counts, double toleratedShare, Certainty certainty) {
            long bad = number.applyAsLong(counts);
            double share = (double) bad / Math.max(1, counts.ended());
            if (share <= toleratedShare || (certainty == Certainty.VERDICT && bad < MINIMUM_BAD)) {
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
                double toleratedShare = kind.toleratedShare(evidence.oldVersion());
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
