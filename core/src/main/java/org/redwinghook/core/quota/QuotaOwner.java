package org.redwinghook.core.quota;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;

import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;
import org.redwinghook.core.routing.RendezvousHash;

/** Grants the quotas of the customers for which this router is the owner router. */
public final class QuotaOwner {

    private final Map<String, CustomerBuckets> buckets = new HashMap<>();
    private final Map<String, RecentUse> recentUses = new HashMap<>();
    private long ownerSinceMillis;

    /**
     * Creates an owner whose buckets are empty now.
     *
     * @param nowMillis current time
     */
    public QuotaOwner(long nowMillis) {
        ownerSinceMillis = nowMillis;
    }

    /**
     * Finds the owner router of a customer.
     *
     * @param customer name of the customer
     * @param routers names of the region's live routers
     * @return the owner's name, empty if there are no routers
     */
    public static Optional<String> findOwner(String customer, Collection<String> routers) {
        long key = RendezvousHash.hash(customer);
        String best = null;
        long bestScore = 0;
        for (String router : routers) {
            long score = RendezvousHash.score(key, router);
            if (best == null || score > bestScore) {
                best = router;
                bestScore = score;
            }
        }
        return Optional.ofNullable(best);
    }

    /**
     * Updates the owned customers after a change of the live routers. Customers that this router no longer owns are
     * removed, and those that it may own from now on start with empty buckets.
     *
     * @param nowMillis current time
     * @param isOwned whether this router owns a customer now
     */
    public void updateRouters(long nowMillis, Predicate<String> isOwned) {
        buckets.keySet().removeIf(isOwned.negate());
        recentUses.keySet().removeIf(isOwned.negate());
        ownerSinceMillis = nowMillis;
    }

    /**
     * Grants a batch.
     *
     * @param nowMillis current time
     * @param request the request
     * @param limit limit of the customer in this region
     * @return the grant
     */
    public QuotaGrant grant(long nowMillis, QuotaRequest request, QuotaLimit limit) {
        QuotaGrant grant = buckets.computeIfAbsent(request.customer(), ignored -> new CustomerBuckets(ownerSinceMillis))
                .grant(nowMillis, request, limit);
        recentUses
                .computeIfAbsent(request.customer(), ignored -> new RecentUse(nowMillis))
                .recordGrant(nowMillis, request, grant);
        return grant;
    }

    /**
     * Recent use of a customer in this region.
     *
     * @param nowMillis current time
     * @param customer name of the customer
     * @param limit total limit of the customer
     * @return the use as a share of the limit
     */
    public double recentUse(long nowMillis, String customer, QuotaLimit limit) {
        RecentUse use = recentUses.get(customer);
        return use == null ? 0 : use.shareOf(nowMillis, limit);
    }

    /**
     * Customers with buckets at this router.
     *
     * @return their names
     */
    public Set<String> customers() {
        return Set.copyOf(buckets.keySet());
    }
}
