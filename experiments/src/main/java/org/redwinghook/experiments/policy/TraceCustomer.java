package org.redwinghook.experiments.policy;

/**
 * A customer of a trace.
 *
 * @param name name of the customer
 * @param owner owner of the customer
 * @param weight weight of the customer's requests in the trace
 * @param lengthFactor factor on the median output of a draft
 */
record TraceCustomer(String name, String owner, double weight, double lengthFactor) {}
