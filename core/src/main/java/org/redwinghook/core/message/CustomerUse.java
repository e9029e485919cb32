package org.redwinghook.core.message;

/**
 * Recent usage of one customer in one region.
 *
 * @param customer name of the customer
 * @param limitShare recent usage as a share of the customer's whole limit
 */
public record CustomerUse(String customer, double limitShare) {}
