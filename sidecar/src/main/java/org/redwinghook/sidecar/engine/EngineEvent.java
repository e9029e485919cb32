package org.redwinghook.sidecar.engine;

import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;

/**
 * One event of a completion stream.
 *
 * @param text text of the token, empty if the event contains none
 * @param finishReason reason why the generation finished, null while it continues
 */
record EngineEvent(String text, @Nullable String finishReason) {

    /**
     * Parses an event.
     *
     * @param event JSON of the event
     * @return the first choice of the event
     * @throws RuntimeException if the event is malformed
     */
    static EngineEvent parse(JsonObject event) {
        JsonObject choice = event.getJsonArray("choices").getJsonObject(0);
        String text = choice.getString("text");
        return new EngineEvent(text == null ? "" : text, choice.getString("finish_reason"));
    }
}
