package org.redwinghook.runtime.config;

import java.io.IOException;
import java.io.UncheckedIOException;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.vavr.control.Try;
import org.redwinghook.core.config.ConfigurationRecord;

/** Encodes configuration records as JSON for the log, and decodes them. */
public final class ConfigurationCodec {

    private final ObjectMapper mapper = JsonMapper.builder()
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .build();

    /**
     * Encodes a record.
     *
     * @param record the record
     * @return the JSON in UTF-8
     */
    public byte[] encode(ConfigurationRecord record) {
        try {
            return mapper.writerFor(ConfigurationRecord.class).writeValueAsBytes(record);
        } catch (IOException exception) {
            throw new UncheckedIOException("cannot encode a record of section " + record.section(), exception);
        }
    }

    /**
     * Decodes a record.
     *
     * @param data the JSON in UTF-8
     * @return the record, or a failure; the same data gives the same result in each process
     */
    public Try<ConfigurationRecord> decode(byte[] data) {
        return Try.of(() -> mapper.readValue(data, ConfigurationRecord.class));
    }
}
