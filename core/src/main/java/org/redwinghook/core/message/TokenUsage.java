package org.redwinghook.core.message;

/**
 * Tokens of one generation.
 *
 * @param inputTokens tokens of the prompt
 * @param outputTokens tokens generated
 */
public record TokenUsage(long inputTokens, long outputTokens) {}
