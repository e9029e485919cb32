package org.redwinghook.core.forward;

import java.util.Set;

import org.jspecify.annotations.Nullable;

/**
 * What a key gives access to.
 *
 * @param customer name of the customer that holds the key
 * @param priority rank that replaces the route's, null if the customer has none
 * @param allowedRegions regions that may serve the customer's requests; empty for all
 */
public record CustomerAccess(String customer, @Nullable Integer priority, Set<String> allowedRegions) {

    public CustomerAccess {
        allowedRegions = Set.copyOf(allowedRegions);
    }
}
