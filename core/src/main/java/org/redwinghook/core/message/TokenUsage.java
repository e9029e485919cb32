package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * Tokens of one generation.
 *
 * @param inputTokens tokens of the prompt
 * @param outputTokens tokens generated
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record TokenUsage(long inputTokens, long outputTokens) {}
