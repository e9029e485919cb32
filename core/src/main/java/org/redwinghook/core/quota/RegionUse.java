package org.redwinghook.core.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.redwinghook.core.message.CustomerUse;
import org.redwinghook.core.message.QuotaUse;

/** Recent use of customers in other regions, as reported by those regions. */
public final class RegionUse {

    // Three reporting intervals; without a report, the other region's share is left to it, and the limit is not
    // exceeded.
    private static final long REPORT_VALIDITY_MILLIS = 30_000;

    private final Map<Key, UseReport> reports = new HashMap<>();

    /**
     * Records a report of another region.
     *
     * @param nowMillis current time
     * @param use the report
     */
    public void recordReport(long nowMillis, QuotaUse use) {
        for (CustomerUse customer : use.customers()) {
            reports.put(new Key(use.region(), customer.customer()), new UseReport(nowMillis, customer.limitShare()));
        }
    }

    /**
     * Share of a customer's limit that belongs to a region. Without a recent report of each other region the limit is
     * divided equally, since an unknown use may be a large one.
     *
     * @param nowMillis current time
     * @param customer name of the customer
     * @param ownRegion the region
     * @param ownUse recent use in the region as a share of the limit
     * @param regions all regions with routers
     * @return the share
     */
    public double ownShare(long nowMillis, String customer, String ownRegion, double ownUse, Set<String> regions) {
        Map<String, Double> uses = new HashMap<>();
        uses.put(ownRegion, ownUse);
        for (String region : regions) {
            if (region.equals(ownRegion)) {
                continue;
            }
            UseReport last = reports.get(new Key(region, customer));
            if (last == null || nowMillis - last.receivedAtMillis() > REPORT_VALIDITY_MILLIS) {
                return 1.0 / Math.max(1, regions.size());
            }
            uses.put(region, last.limitShare());
        }
        return RegionShares.divide(uses).getOrDefault(ownRegion, 1.0);
    }

    private record Key(String region, String customer) {}

    private record UseReport(long receivedAtMillis, double limitShare) {}
}
