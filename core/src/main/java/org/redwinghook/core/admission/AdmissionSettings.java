package org.redwinghook.core.admission;

/**
 * Properties of one endpoint for admission control.
 *
 * @param maximumConcurrency number of requests that a warm endpoint can run concurrently
 * @param memoryTokens tokens that fit into the engine's memory; 0 for plain services, which have no such limit
 * @param quickTokens expected output in tokens up to which a request is quick
 */
public record AdmissionSettings(int maximumConcurrency, int memoryTokens, int quickTokens) {}
