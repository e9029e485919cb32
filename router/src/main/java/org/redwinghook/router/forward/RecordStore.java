package org.redwinghook.router.forward;

import java.util.function.LongConsumer;

import io.vertx.core.Future;
import org.redwinghook.core.replica.RecordTopic;

/** The platform's store of keyed records. */
public interface RecordStore {

    /**
     * Reads records from an offset and waits for new ones if there are none.
     *
     * @param topic the topic
     * @param firstOffset offset of the first record to read
     * @param waitMillis maximum wait, in milliseconds
     * @return the records; fails with {@link RecordsExpiredException} if they are no longer retained
     */
    Future<RecordPage> read(RecordTopic topic, long firstOffset, long waitMillis);

    /**
     * Reads the newest record of each key.
     *
     * @param topic the topic
     * @return the records, with the end offset of the topic when reading began
     */
    Future<RecordPage> snapshot(RecordTopic topic);

    /**
     * Writes a record. After a failure, the record may or may not have been written.
     *
     * @param topic the topic
     * @param key key of the record
     * @param value content; empty to remove the key
     * @return completes when the store has the record
     */
    Future<Void> write(RecordTopic topic, String key, byte[] value);

    /**
     * Registers a listener for eras of the store. A new era begins when the store comes back from a copy: records are
     * lost, and their offsets are given out again.
     *
     * @param listener receives, on the event loop, the era of each answer to any call whose era is later than the last one;
     *     refused calls are included, and the call itself ends afterwards
     */
    void onEra(LongConsumer listener);
}
