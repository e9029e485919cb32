package org.redwinghook.runtime.json;

import io.vertx.core.json.jackson.JacksonCodec;
import io.vertx.core.spi.JsonFactory;
import io.vertx.core.spi.json.JsonCodec;

/**
 * Makes Vert.x read and write its JSON objects through Jackson's streams, in processes that register it as a service. Its
 * own choice, data binding, takes a tenth of a start's processor time; JSON objects do not need it, other values do.
 */
public final class StreamingJsonFactory implements JsonFactory {

    private static final JsonCodec CODEC = new JacksonCodec();

    @Override
    public JsonCodec codec() {
        return CODEC;
    }
}
