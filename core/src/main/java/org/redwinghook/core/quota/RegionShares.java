package org.redwinghook.core.quota;

import java.util.HashMap;
import java.util.Map;

/** Division of a limit between regions by their recent use. */
public final class RegionShares {

    /** Minimum share of a region. */
    public static final double MINIMUM_SHARE = 0.1;

    private RegionShares() {}

    /**
     * Divides a limit. The shares add up to 1.
     *
     * @param recentUse recent use by region, not negative
     * @return share of each region, at least {@link #MINIMUM_SHARE} or an equal part if there are many regions
     */
    public static Map<String, Double> divide(Map<String, Double> recentUse) {
        int regions = recentUse.size();
        double minimumShare = Math.min(MINIMUM_SHARE, 1.0 / Math.max(1, regions));
        double total =
                recentUse.values().stream().mapToDouble(Double::doubleValue).sum();
        double divisible = 1 - minimumShare * regions;
        Map<String, Double> shares = new HashMap<>();
        recentUse.forEach((region, use) ->
                shares.put(region, minimumShare + divisible * (total > 0 ? use / total : 1.0 / regions)));
        return shares;
    }
}
