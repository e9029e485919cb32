package org.redwinghook.core.replica;

import org.jspecify.annotations.Nullable;

/**
 * The newest known record of a key.
 *
 * @param key the key
 * @param offset offset of the record in its log; a higher one is newer
 * @param value content, null if the key was removed
 */
public record VersionedRecord(String key, long offset, byte @Nullable [] value) {}
