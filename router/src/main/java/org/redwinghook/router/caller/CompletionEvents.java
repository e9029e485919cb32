package org.redwinghook.router.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.TokenUsage;

/** JSON objects of the completions protocol. */
final class CompletionEvents {

    private CompletionEvents() {}

    static JsonObject chunk(String generation, String model, String text, @Nullable FinishReason reason) {
        JsonObject choice = new JsonObject()
                .put("index", 0)
                .put("text", text)
                .put("finish_reason", reason == null ? null : reason.wireName());
        return new JsonObject()
                .put("id", generation)
                .put("object", "text_completion")
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
    }

    static JsonObject usage(TokenUsage usage) {
        return new JsonObject()
                .put("prompt_tokens", usage.inputTokens())
                .put("completion_tokens", usage.outputTokens())
                .put("total_tokens", usage.inputTokens() + usage.outputTokens());
    }
}
