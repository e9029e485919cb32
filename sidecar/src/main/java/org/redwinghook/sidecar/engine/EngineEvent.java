package org.redwinghook.sidecar.engine;

import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;

/**
 * One event of a completion stream.
 *
 * @param text text of the token, empty if the event has none
 * @param finishReason why the engine stopped, absent while it goes on
 */
record EngineEvent(String text, @Nullable String finishReason) {

    /**
     * Reads an event.
     *
     * @param event the event
     * @return its first choice
     * @throws RuntimeException if the event has another form
     */
    static EngineEvent parse(JsonObject event) {
        JsonObject choice = event.getJsonArray("choices").getJsonObject(0);
        String text = choice.getString("text");
        return new EngineEvent(text == null ? "" : text, choice.getString("finish_reason"));
    }
}
