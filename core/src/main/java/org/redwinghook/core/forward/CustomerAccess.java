package org.redwinghook.core.forward;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * Access that an API key grants.
 *
 * @param customer name of the customer to which the key belongs
 * @param priority priority that overrides the route's, null if the customer has none
 * @param allowedRegions regions that may serve the customer's requests, null for all
 */
public record CustomerAccess(
        String customer,
        @Nullable Integer priority,
        @Nullable Set<String> allowedRegions) {

    public CustomerAccess {
        allowedRegions = allowedRegions == null ? null : Set.copyOf(allowedRegions);
    }
}
