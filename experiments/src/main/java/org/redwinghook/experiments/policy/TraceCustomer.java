package org.redwinghook.experiments.policy;

/**
 * A customer of a trace.
 *
 * @param name name of the customer
 * @param owner its owner
 * @param weight share of the trace's generations
 * @param lengthFactor factor on the median draft length
 */
record TraceCustomer(String name, String owner, double weight, double lengthFactor) {}
