package org.redwinghook.core.relocation;

/**
 * A generation that runs at a leaving engine.
 *
 * @param requestId identifier of the request
 * @param residentTokens memory that it holds, in tokens
 * @param expectedRemainingMillis expected time until it completes at this engine
 * @param resumable whether it may restart at another engine after its last event
 */
public record RunAtEngine(String requestId, long residentTokens, double expectedRemainingMillis, boolean resumable) {}
