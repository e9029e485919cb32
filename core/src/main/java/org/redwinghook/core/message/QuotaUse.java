package org.redwinghook.core.message;

import java.util.List;

/**
 * Tells the owner routers of other regions how much of their limits customers use in this one.
 *
 * @param region region of the sender
 * @param customers recent use of customers that the sender owns
 */
public record QuotaUse(String region, List<CustomerUse> customers) implements Message {

    public QuotaUse {
        customers = List.copyOf(customers);
    }
}
