package org.redwinghook.router.forward;

import io.vertx.core.Future;
import org.redwinghook.core.replica.RecordTopic;

/** The platform's store of keyed records. */
public interface RecordStore {

    /**
     * Reads records from an offset, waiting for one if there is none.
     *
     * @param topic the topic
     * @param firstOffset first offset wanted
     * @param waitMillis longest wait
     * @return the records; fails with {@link RecordsExpiredException} if they are no longer kept
     */
    Future<RecordPage> read(RecordTopic topic, long firstOffset, long waitMillis);

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records, with the end of the topic at the beginning of the reading
     */
    Future<RecordPage> snapshot(RecordTopic topic);

    /**
     * Writes a record. A failure does not tell whether it was written.
     *
     * @param topic the topic
     * @param key key of the record
     * @param value content; empty to remove the key
     * @return completes when the store has the record
     */
    Future<Void> write(RecordTopic topic, String key, byte[] value);
}
