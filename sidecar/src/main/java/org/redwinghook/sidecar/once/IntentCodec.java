package org.redwinghook.sidecar.once;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vavr.control.Try;
import io.vertx.core.buffer.Buffer;
import org.redwinghook.core.once.IntentBatch;

/** Encodes the log records of keyed calls as JSON. */
public final class IntentCodec {

    private final ObjectMapper mapper = new ObjectMapper()
            .setSerializationInclusion(JsonInclude.Include.NON_NULL)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);

    /**
     * Encodes a record.
     *
     * @param batch content of the record
     * @return the encoded record
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
     * @param data the encoded record
     * @return content of the record, or a failure if the record cannot be decoded
     */
    public Try<IntentBatch> decode(byte[] data) {
        return Try.of(() -> mapper.readValue(data, IntentBatch.class));
    }
}
