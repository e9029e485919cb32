package org.redwinghook.sidecar.once;

/**
 * A run of a keyed call at the endpoint.
 *
 * @param partition partition of the key
 * @param attempt number of the attempt
 */
public record KeyedRun(int partition, long attempt) {}
