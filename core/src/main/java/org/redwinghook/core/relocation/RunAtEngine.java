package org.redwinghook.core.relocation;

/**
 * A running generation at an engine that leaves.
 *
 * @param requestId its identifier
 * @param residentTokens tokens of its memory so far
 * @param expectedRemainingMillis time that it is expected to need at this engine
 * @param resumable whether it may start anew elsewhere after its last event
 */
public record RunAtEngine(String requestId, long residentTokens, double expectedRemainingMillis, boolean resumable) {}
