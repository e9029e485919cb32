package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.jspecify.annotations.Nullable;

/**
 * Newest known record of a key in the platform's store.
 *
 * @param key the key
 * @param offset offset of the record in its log
 * @param value content of the record, null if the key was removed
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record KeyedRecord(String key, long offset, byte @Nullable [] value) {}
