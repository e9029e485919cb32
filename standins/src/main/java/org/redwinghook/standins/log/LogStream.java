package org.redwinghook.standins.log;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** The retained records of one stream. */
final class LogStream {

    private final LogSettings settings;
    private final List<Entry> entries = new ArrayList<>();
    private long firstOffset = 1;

    LogStream(LogSettings settings) {
        this.settings = settings;
    }

    long append(byte[] data, long nowMillis) {
        entries.add(new Entry(nowMillis, data));
        return nextOffset() - 1;
    }

    long firstOffset() {
        return firstOffset;
    }

    long nextOffset() {
        return firstOffset + entries.size();
    }

    void applyRetention(long nowMillis) {
        int expiredRecords = Math.max(0, entries.size() - settings.keptRecords());
        while (expiredRecords < entries.size()
                && entries.get(expiredRecords).timestampMillis() < nowMillis - settings.keptMillis()) {
            expiredRecords++;
        }
        entries.subList(0, expiredRecords).clear();
        firstOffset += expiredRecords;
    }

    JsonArray readRecords(long fromOffset, long maximumRecords) {
        JsonArray records = new JsonArray();
        long endOffset = maximumRecords < nextOffset() - fromOffset ? fromOffset + maximumRecords : nextOffset();
        for (long offset = Math.max(fromOffset, firstOffset); offset < endOffset; offset++) {
            Entry entry = entries.get((int) (offset - firstOffset));
            records.add(new JsonObject()
                    .put("offset", offset)
                    .put("timestampMillis", entry.timestampMillis())
                    .put("data", Base64.getEncoder().encodeToString(entry.data())));
        }
        return records;
    }

    private record Entry(long timestampMillis, byte[] data) {}
}
