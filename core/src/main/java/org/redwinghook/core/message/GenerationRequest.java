package org.redwinghook.core.message;

/**
 * A generation to run on a model engine.
 *
 * @param model model to use
 * @param prompt full prompt text
 * @param promptTokens length of the prompt in tokens, as counted by the router
 * @param maximumOutputTokens tokens after which the engine stops
 */
public record GenerationRequest(String model, String prompt, int promptTokens, int maximumOutputTokens) {}
