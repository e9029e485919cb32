package org.redwinghook.core.message;

import java.util.List;

/**
 * Announces to the owner routers of other regions how much of their limits customers use in the sender's region.
 *
 * @param region region of the sender
 * @param customers recent usage of the customers that the sender owns
 */
public record QuotaUse(String region, List<CustomerUse> customers) implements Message {

    public QuotaUse {
        customers = List.copyOf(customers);
    }
}
