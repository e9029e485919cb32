package org.redwinghook.sidecar.engine;

import java.util.List;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.engine.EngineCommand;
import org.redwinghook.core.engine.ReportedState;
import org.redwinghook.runtime.json.UntrustedJson;

/** Decodes states and encodes commands of the engine's HTTP interface. */
final class EngineStateCodec {

    private EngineStateCodec() {}

    static ReportedState decode(Buffer body) {
        JsonObject state = UntrustedJson.parseObject(body);
        List<String> adapters = state.getJsonArray("adapters", new JsonArray()).stream()
                .map(String::valueOf)
                .toList();
        // An engine that does not check fencing numbers may omit the number.
        Long fencing = state.getLong("fencing");
        return new ReportedState(
                textOrEmpty(state, "model"),
                textOrEmpty(state, "version"),
                adapters,
                textOrEmpty(state, "role"),
                fencing == null ? 0 : fencing);
    }

    static Buffer encode(EngineCommand command) {
        return new JsonObject()
                .put("kind", command.kind().wireName())
                .put("name", command.name())
                .put("fencing", command.fencing())
                .toBuffer();
    }

    private static String textOrEmpty(JsonObject state, String key) {
        String value = state.getString(key);
        return value == null ? "" : value;
    }
}
