package org.redwinghook.core.usage;

/**
 * What a count is for.
 *
 * @param owner owner of the customer, who is billed
 * @param customer the customer
 * @param service the service used
 * @param side who counted
 */
public record UsageKey(String owner, String customer, String service, UsageSide side) {}
