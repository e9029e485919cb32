package org.redwinghook.router.caller;

import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;

/**
 * A caller's request for a completion.
 *
 * @param model model to use
 * @param prompt prompt text
 * @param maximumTokens largest output wanted, 0 if the caller set none
 * @param stream whether tokens are wanted as they come
 */
public record CompletionRequest(String model, String prompt, int maximumTokens, boolean stream) {

    /**
     * Reads a request.
     *
     * @param body body of the HTTP request
     * @return the request, or what is wrong with it
     */
    public static Either<String, CompletionRequest> read(Buffer body) {
        try {
            JsonObject json = new JsonObject(body);
            String model = json.getString("model");
            String prompt = json.getString("prompt");
            int maximumTokens = json.getInteger("max_tokens", 0);
            if (model == null || model.isBlank()) {
                return Either.left("'model' is missing");
            }
            if (prompt == null || prompt.isEmpty()) {
                return Either.left("'prompt' is missing");
            }
            if (maximumTokens < 0) {
                return Either.left("'max_tokens' must not be negative");
            }
            return Either.right(new CompletionRequest(model, prompt, maximumTokens, json.getBoolean("stream", false)));
        } catch (DecodeException exception) {
            return Either.left("the body is not valid JSON");
        } catch (ClassCastException exception) {
            return Either.left("a value has the wrong type");
        }
    }
}
