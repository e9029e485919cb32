package org.redwinghook.core.rollout;

import org.redwinghook.core.routing.RendezvousHash;

/**
 * A router's part of the requests that a version may receive before it is trusted. The parts of all routers add up to
 * the allowance, whether their reports arrive or not: each follows from the router's own requests and the number of
 * routers. Fractions of a request are rounded at random, so that many routers with few requests use their parts, too.
 */
final class ExposureAllowance {

    private final RolloutLimits limits;
    private final long key;
    private final String self;

    ExposureAllowance(RolloutLimits limits, RolloutOrder order, String self) {
        this.limits = limits;
        this.key = RendezvousHash.hash(order.service() + "/" + order.to());
        this.self = self;
    }

    /**
     * Requests that a router may send in all.
     *
     * @param fraction fraction of the allowance that may be used
     * @param ownRequests requests that the router received since the order
     * @param routers number of routers
     * @return the number
     */
    double ownPart(double fraction, double ownRequests, int routers) {
        return fraction * (limits.exposureShare() * ownRequests + limits.exposureSlack() / Math.max(1, routers));
    }

    /**
     * Whether one more request may be sent.
     *
     * @param fraction fraction of the allowance that may be used
     * @param own requests and exposed requests of this router
     * @param others the same of the other routers as far as they have reported
     * @param routers number of routers
     * @return false if this router has used its part, or all routers together the allowance
     */
    boolean allows(double fraction, Use own, Use others, int routers) {
        double rounding = RendezvousHash.position(key + own.exposed(), self);
        double ofAll =
                fraction * (limits.exposureShare() * (own.requests() + others.requests()) + limits.exposureSlack());
        return own.exposed() + rounding < ownPart(fraction, own.requests(), routers)
                && own.exposed() + others.exposed() < ofAll;
    }

    /**
     * Requests since the order.
     *
     * @param requests requests of callers
     * @param exposed attempts at endpoints of the new version
     */
    record Use(long requests, long exposed) {}
}
