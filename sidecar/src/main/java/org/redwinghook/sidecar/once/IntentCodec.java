package org.redwinghook.sidecar.once;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import io.vertx.core.buffer.Buffer;
import org.redwinghook.core.once.IntentBatch;

/** Encodes the records of the intents' streams as JSON. */
public final class IntentCodec {

    private final ObjectMapper mapper = new ObjectMapper()
            .setSerializationInclusion(JsonInclude.Include.NON_NULL)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /**
     * Encodes a record.
     *
     * @param batch the record
     * @return its bytes
     */
    public Buffer encode(IntentBatch batch) {
        try {
            return Buffer.buffer(mapper.writeValueAsBytes(batch));
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot encode a batch of intents", exception);
        }
    }

    /**
     * Decodes a record.
     *
     * @param data its bytes
     * @return the record, or a failure if the bytes are damaged
     */
    public Try<IntentBatch> decode(byte[] data) {
        return Try.of(() -> mapper.readValue(data, IntentBatch.class));
    }
}
