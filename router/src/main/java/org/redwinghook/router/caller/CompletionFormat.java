package org.redwinghook.router.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.TokenUsage;

/** JSON shapes of completions. */
public enum CompletionFormat {
    /** Prompt and text: /v1/completions. */
    TEXT("text_completion", "text_completion") {
        @Override
        JsonObject part(String text, boolean first) {
            return new JsonObject().put("text", text);
        }

        @Override
        JsonObject whole(String text) {
            return new JsonObject().put("text", text);
        }
    },
    /** Messages and deltas: /v1/chat/completions. */
    CHAT("chat.completion.chunk", "chat.completion") {
        @Override
        JsonObject part(String text, boolean first) {
            JsonObject delta = new JsonObject();
            if (first) {
                delta.put("role", "assistant");
            }
            if (!text.isEmpty()) {
                delta.put("content", text);
            }
            return new JsonObject().put("delta", delta);
        }

        @Override
        JsonObject whole(String text) {
            return new JsonObject()
                    .put("message", new JsonObject().put("role", "assistant").put("content", text));
        }
    };

    private final String chunkObject;
    private final String completionObject;

    CompletionFormat(String chunkObject, String completionObject) {
        this.chunkObject = chunkObject;
        this.completionObject = completionObject;
    }

    /**
     * One event of a stream.
     *
     * @param generation identifier of the generation
     * @param model model that the caller named
     * @param text text of the event
     * @param first whether it is the first event of the generation
     * @param reason why the engine stopped, null for all events but the last
     * @return the event's data
     */
    JsonObject chunk(String generation, String model, String text, boolean first, @Nullable FinishReason reason) {
        return body(generation, model, chunkObject, part(text, first), reason);
    }

    /**
     * A whole answer.
     *
     * @param generation identifier of the generation
     * @param model model that the caller named
     * @param text all text
     * @param reason why the engine stopped
     * @return the body
     */
    JsonObject answer(String generation, String model, String text, FinishReason reason) {
        return body(generation, model, completionObject, whole(text), reason);
    }

    /**
     * Usage as callers read it.
     *
     * @param usage tokens counted
     * @return the object
     */
    static JsonObject usage(TokenUsage usage) {
        return new JsonObject()
                .put("prompt_tokens", usage.inputTokens())
                .put("completion_tokens", usage.outputTokens())
                .put("total_tokens", usage.inputTokens() + usage.outputTokens());
    }

    abstract JsonObject part(String text, boolean first);

    abstract JsonObject whole(String text);

    private static JsonObject body(
            String generation, String model, String object, JsonObject choice, @Nullable FinishReason reason) {
        choice.put("index", 0).put("finish_reason", reason == null ? null : reason.wireName());
        return new JsonObject()
                .put("id", generation)
                .put("object", object)
                .put("model", model)
                .put("choices", new JsonArray().add(choice));
    }
}
