package org.redwinghook.core.usage;

/**
 * Key by which usage is counted.
 *
 * @param owner owner of the customer, who is billed
 * @param customer the customer
 * @param service the service used
 * @param side side that counted
 */
public record UsageKey(String owner, String customer, String service, UsageSide side) {}
