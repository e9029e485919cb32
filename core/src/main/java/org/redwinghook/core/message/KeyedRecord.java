package org.redwinghook.core.message;

import com.fasterxml.jackson.annotation.JsonFormat;
import org.jspecify.annotations.Nullable;

/**
 * Newest known record of a key.
 *
 * @param key the key
 * @param offset place of the record in its log
 * @param value content, null if the key was removed
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record KeyedRecord(String key, long offset, byte @Nullable [] value) {}
