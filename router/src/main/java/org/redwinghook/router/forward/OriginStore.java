package org.redwinghook.router.forward;

import io.vertx.core.Future;

/** The log of streams' origins in the platform's store. Each call is billed. */
public interface OriginStore {

    /**
     * Reads the newest record of each key.
     *
     * @return the records
     */
    Future<RecordPage> readOrigins();

    /**
     * Writes a record. After a failure, the record may or may not have been written.
     *
     * @param key key of the record
     * @param value content
     * @return completes when the store has the record
     */
    Future<Void> writeOrigins(String key, byte[] value);
}
