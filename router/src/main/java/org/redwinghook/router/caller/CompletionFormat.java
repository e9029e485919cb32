package org.redwinghook.router.caller;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.TokenUsage;

/** JSON formats of completions. */
public enum CompletionFormat {
    /** Format of /v1/completions, with a prompt and a text. */
    TEXT("text_completion", "text_completion") {
        @Override
        JsonObject partialChoice(String text, boolean isFirst) {
            return new JsonObject().put("text", text);
        }

        @Override
        JsonObject completeChoice(String text) {
            return new JsonObject().put("text", text);
        }
    },
    /** Format of /v1/chat/completions, with messages and deltas. */
    CHAT("chat.completion.chunk", "chat.completion") {
        @Override
        JsonObject partialChoice(String text, boolean isFirst) {
            JsonObject delta = new JsonObject();
            if (isFirst) {
                delta.put("role", "assistant");
            }
            if (!text.isEmpty()) {
                delta.put("content", text);
            }
            return new JsonObject().put("delta", delta);
        }

        @Override
        JsonObject completeChoice(String text) {
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
     * Creates the data of a stream event.
     *
     * @param generation identifier of the generation
     * @param model name of the model in the request
     * @param text text of the event
     * @param isFirst whether this is the first event of the generation
     * @param reason the engine's reason for stopping, null for all events except the last
     * @return the event's data
     */
    JsonObject chunk(String generation, String model, String text, boolean isFirst, @Nullable FinishReason reason) {
        return body(generation, model, chunkObject, partialChoice(text, isFirst), reason);
    }

    /**
     * Creates the body of a response that is not streamed.
     *
     * @param generation identifier of the generation
     * @param model name of the model in the request
     * @param text text of the whole generation
     * @param reason the engine's reason for stopping
     * @return the body
     */
    JsonObject answer(String generation, String model, String text, FinishReason reason) {
        return body(generation, model, completionObject, completeChoice(text), reason);
    }

    /**
     * Creates the usage object for callers.
     *
     * @param usage token counts of the generation
     * @return the object
     */
    static JsonObject usage(TokenUsage usage) {
        return new JsonObject()
                .put("prompt_tokens", usage.inputTokens())
                .put("completion_tokens", usage.outputTokens())
                .put("total_tokens", usage.inputTokens() + usage.outputTokens());
    }

    abstract JsonObject partialChoice(String text, boolean isFirst);

    abstract JsonObject completeChoice(String text);

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
