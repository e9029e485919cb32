package org.redwinghook.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Cache events of an engine, published late and with gaps. */
final class CacheEvents {

    private static final int MOST_KEPT = 10_000;

    private final EngineReporting reporting;
    private final Deque<Event> events = new ArrayDeque<>();
    private long last;

    CacheEvents(EngineReporting reporting) {
        this.reporting = reporting;
    }

    void add(String kind, long prefix, long nowMillis) {
        last++;
        int gapEvery = reporting.cacheEventGapEvery();
        if (gapEvery > 0 && last % gapEvery == 0) {
            return;
        }
        events.addLast(new Event(last, kind, prefix, nowMillis));
        if (events.size() > MOST_KEPT) {
            events.removeFirst();
        }
    }

    JsonObject read(long from, long nowMillis) {
        JsonArray visible = new JsonArray();
        long next = Math.max(1, from);
        for (Event event : events) {
            if (event.timeMillis() > nowMillis - reporting.cacheEventDelayMillis()) {
                break;
            }
            if (event.sequence() >= from) {
                visible.add(new JsonObject()
                        .put("sequence", event.sequence())
                        .put("kind", event.kind())
                        .put("prefix", event.prefix()));
                next = event.sequence() + 1;
            }
        }
        return new JsonObject().put("next", next).put("events", visible);
    }

    private record Event(long sequence, String kind, long prefix, long timeMillis) {}
}
