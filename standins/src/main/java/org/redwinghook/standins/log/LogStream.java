package org.redwinghook.standins.log;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Records of one stream that are still kept. */
final class LogStream {

    private final LogSettings settings;
    private final List<Entry> entries = new ArrayList<>();
    private long first = 1;

    LogStream(LogSettings settings) {
        this.settings = settings;
    }

    long append(byte[] data, long nowMillis) {
        entries.add(new Entry(nowMillis, data));
        return next() - 1;
    }

    long first() {
        return first;
    }

    long next() {
        return first + entries.size();
    }

    void dropOld(long nowMillis) {
        int dropped = Math.max(0, entries.size() - settings.keptRecords());
        while (dropped < entries.size() && entries.get(dropped).timestampMillis() < nowMillis - settings.keptMillis()) {
            dropped++;
        }
        entries.subList(0, dropped).clear();
        first += dropped;
    }

    JsonArray records(long from, long limit) {
        JsonArray records = new JsonArray();
        long end = limit < next() - from ? from + limit : next();
        for (long offset = Math.max(from, first); offset < end; offset++) {
            Entry entry = entries.get((int) (offset - first));
            records.add(new JsonObject()
                    .put("offset", offset)
                    .put("timestampMillis", entry.timestampMillis())
                    .put("data", Base64.getEncoder().encodeToString(entry.data())));
        }
        return records;
    }

    private record Entry(long timestampMillis, byte[] data) {}
}
