package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;

/**
 * A generation to run on a model engine.
 *
 * @param model model to use
 * @param prompt complete prompt text
 * @param promptTokens length of the prompt in tokens, as counted by the router
 * @param maximumOutputTokens maximum number of tokens to generate
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record GenerationRequest(String model, String prompt, int promptTokens, int maximumOutputTokens) {}
