package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/** Engines that had no room for a copy, so that the next runs do not try them at once. Times are in milliseconds. */
final class RefusingDestinations {

    /** Time for which an engine is not tried again, in milliseconds: about two copies, after which another run may end. */
    private static final long PAUSE_MILLIS = 400;

    private final Map<String, Long> refusedMillis = new HashMap<>();

    void record(String engineId, long nowMillis) {
        refusedMillis.put(engineId, nowMillis);
    }

    Set<String> current(long nowMillis) {
        refusedMillis.values().removeIf(millis -> nowMillis - millis >= PAUSE_MILLIS);
        return new HashSet<>(refusedMillis.keySet());
    }
}
