package org.redwinghook.standins.engine;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;

/** Prefix cache events of an engine, published with a delay and with gaps. */
final class CacheEvents {

    private static final int MAXIMUM_EVENTS = 10_000;

    private final EngineReporting reporting;
    private final Deque<Event> events = new ArrayDeque<>();
    private long lastSequence;

    CacheEvents(EngineReporting reporting) {
        this.reporting = reporting;
    }

    void add(String kind, long prefixHash, long nowMillis) {
        lastSequence++;
        int gapEvery = reporting.cacheEventGapEvery();
        if (gapEvery > 0 && lastSequence % gapEvery == 0) {
            return;
        }
        events.addLast(new Event(lastSequence, kind, prefixHash, nowMillis));
        if (events.size() > MAXIMUM_EVENTS) {
            events.removeFirst();
        }
    }

    JsonObject read(long firstSequence, long nowMillis) {
        JsonArray visibleEvents = new JsonArray();
        long nextSequence = Math.max(1, firstSequence);
        for (Event event : events) {
            if (event.timeMillis() > nowMillis - reporting.cacheEventDelayMillis()) {
                break;
            }
            if (event.sequence() >= firstSequence) {
                visibleEvents.add(new JsonObject()
                        .put("sequence", event.sequence())
                        .put("kind", event.kind())
                        .put("prefix", event.prefixHash()));
                nextSequence = event.sequence() + 1;
            }
        }
        return new JsonObject().put("next", nextSequence).put("events", visibleEvents);
    }

    private record Event(long sequence, String kind, long prefixHash, long timeMillis) {}
}
