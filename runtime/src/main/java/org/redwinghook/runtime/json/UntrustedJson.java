package org.redwinghook.runtime.json;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.StreamReadConstraints;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.core.json.jackson.JacksonCodec;
import org.redwinghook.core.receive.ReceiveLimits;

/** Parses JSON of other processes. JSON that is nested too deeply is invalid. */
public final class UntrustedJson {

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(ReceiveLimits.MAXIMUM_NESTING_DEPTH)
                    .build())
            .build();

    private UntrustedJson() {}

    /**
     * Parses an object.
     *
     * @param bytes the JSON in UTF-8
     * @return the object
     * @throws DecodeException if the bytes are not a valid JSON object
     */
    public static JsonObject parseObject(Buffer bytes) {
        return parse(bytes, JsonObject.class);
    }

    /**
     * Parses an array.
     *
     * @param bytes the JSON in UTF-8
     * @return the array
     * @throws DecodeException if the bytes are not a valid JSON array
     */
    public static JsonArray parseArray(Buffer bytes) {
        return parse(bytes, JsonArray.class);
    }

    private static <T> T parse(Buffer bytes, Class<T> type) {
        try (JsonParser parser = FACTORY.createParser(bytes.getBytes())) {
            Object value = JacksonCodec.fromParser(parser, Object.class);
            if (!type.isInstance(value)) {
                throw new DecodeException("not a " + type.getSimpleName());
            }
            return type.cast(value);
        } catch (IOException exception) {
            throw new DecodeException("unreadable JSON: " + exception.getMessage(), exception);
        }
    }
}
