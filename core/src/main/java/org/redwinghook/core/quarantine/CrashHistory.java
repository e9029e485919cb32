package org.redwinghook.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/** Crashes of endpoints, with an index by the parts of the suspect requests. */
final class CrashHistory {

    /** Maximum number of crashes that are remembered. */
    static final int MAXIMUM_CRASHES = 256;

    /** Maximum number of suspect requests of one crash. */
    static final int MAXIMUM_SUSPECTS = 1_024;

    /** Maximum number of parts of the suspect requests of one crash; 32 requests with the largest number of parts. */
    static final int MAXIMUM_PARTS_PER_CRASH = 32_768;

    /** Maximum number of parts of all suspect requests; those of four of the largest crashes. */
    static final int MAXIMUM_PARTS = 131_072;

    /**
     * Time between reports of one endpoint from which they belong to different events; longer than routers differ in
     * noticing the same one. As an endpoint crashes once per start, only the last event can be a crash.
     */
    static final long SEPARATE_EVENT_MILLIS = 2_000;

    private static final Comparator<EndpointCrash> IN_ORDER =
            Comparator.comparingLong(EndpointCrash::atMillis).thenComparing(EndpointCrash::endpoint);

    private final Map<String, EndpointCrash> crashes = new LinkedHashMap<>();
    private final Map<String, Long> replacedMillis = new HashMap<>();
    private final Map<String, PartCrashes> crashesByPart = new HashMap<>();
    private final Set<String> repeatedParts = new HashSet<>();
    private int parts;

    /** Crashes with a part: the last time at which a request with it was sent to each endpoint. */
    private static final class PartCrashes {
        private final Map<String, Long> lastSentByEndpoint = new HashMap<>();
        private int position;
        private long firstCrashMillis = Long.MAX_VALUE;
        private long lastCrashMillis = Long.MIN_VALUE;
        private long lastSentMillis = Long.MIN_VALUE;
    }

    /**
     * Adds what a report has beyond the known crashes.
     *
     * @param reported a valid report
     * @return the crash with the suspects that were unknown, null if nothing was unknown
     */
    @Nullable
    EndpointCrash add(EndpointCrash reported) {
        if (isOfReplacedCrash(reported)) {
            return null;
        }
        EndpointCrash earlier = crashes.get(reported.endpoint());
        if (earlier != null && isSeparate(earlier.atMillis(), reported.atMillis())) {
            replacedMillis.put(reported.endpoint(), earlier.atMillis());
            crashes.remove(reported.endpoint());
            parts -= earlier.partCount();
            rebuildIndex();
        }
        EndpointCrash known = crashes.getOrDefault(
                reported.endpoint(), new EndpointCrash(reported.endpoint(), reported.atMillis(), List.of(), false));
        long atMillis = Math.min(reported.atMillis(), known.atMillis());
        Map<String, SuspectRequest> suspects = new LinkedHashMap<>();
        known.suspects().forEach(suspect -> suspects.put(suspect.requestId(), suspect));
        List<SuspectRequest> added = new ArrayList<>();
        int partsOfCrash = known.partCount();
        for (SuspectRequest suspect : reported.suspects()) {
            int withSuspect = partsOfCrash + suspect.parts().size();
            if (suspects.size() < MAXIMUM_SUSPECTS
                    && withSuspect <= MAXIMUM_PARTS_PER_CRASH
                    && suspects.putIfAbsent(suspect.requestId(), suspect) == null) {
                added.add(suspect);
                partsOfCrash = withSuspect;
            }
        }
        parts += partsOfCrash - known.partCount();
        boolean refuted = reported.refuted() || known.refuted();
        EndpointCrash merged =
                new EndpointCrash(reported.endpoint(), atMillis, List.copyOf(suspects.values()), refuted);
        crashes.put(merged.endpoint(), merged);
        if (atMillis < known.atMillis() || (refuted && !known.refuted())) {
            rebuildIndex();
        } else if (!refuted) {
            added.forEach(suspect -> index(merged, suspect));
        }
        if (refuted && !known.refuted()) {
            return new EndpointCrash(merged.endpoint(), atMillis, added, true);
        }
        return added.isEmpty() ? null : new EndpointCrash(merged.endpoint(), atMillis, added, refuted);
    }

    /** Whether a report belongs to an event before the known crash. */
    private boolean isOfReplacedCrash(EndpointCrash reported) {
        EndpointCrash known = crashes.get(reported.endpoint());
        if (known == null) {
            return false;
        }
        Long replaced = replacedMillis.get(reported.endpoint());
        return isSeparate(reported.atMillis(), known.atMillis())
                || (replaced != null && !isSeparate(replaced, reported.atMillis()));
    }

    private static boolean isSeparate(long earlierMillis, long laterMillis) {
        return laterMillis - earlierMillis > SEPARATE_EVENT_MILLIS;
    }

    /**
     * Forgets crashes.
     *
     * @param isOutdated whether a crash is too old
     * @param isNeeded whether a crash is to be forgotten last
     * @return whether any was forgotten
     */
    boolean limit(Predicate<EndpointCrash> isOutdated, Predicate<EndpointCrash> isNeeded) {
        boolean changed = crashes.values().removeIf(isOutdated);
        if (changed) {
            parts = crashes.values().stream().mapToInt(EndpointCrash::partCount).sum();
        }
        if (isFull()) {
            changed = true;
            List<EndpointCrash> removable = new ArrayList<>(crashes.values());
            removable.sort(Comparator.comparing(isNeeded::test));
            for (int index = 0; isFull(); index++) {
                EndpointCrash removed = removable.get(index);
                crashes.remove(removed.endpoint());
                parts -= removed.partCount();
            }
        }
        if (changed) {
            replacedMillis.keySet().retainAll(crashes.keySet());
            rebuildIndex();
        }
        return changed;
    }

    /** Whether more is remembered than the limits allow, until the next call of {@link #limit}. */
    boolean isFull() {
        return crashes.size() > MAXIMUM_CRASHES || parts > MAXIMUM_PARTS;
    }

    boolean isEmpty() {
        return crashes.isEmpty();
    }

    @Nullable
    EndpointCrash find(String endpoint) {
        return crashes.get(endpoint);
    }

    Collection<EndpointCrash> all() {
        return crashes.values();
    }

    Set<String> parts() {
        return crashesByPart.keySet();
    }

    /** Parts with a crash, and with another one of a request that may have been sent after it. */
    Set<String> repeatedParts() {
        return repeatedParts;
    }

    /** Largest position of a part in a prompt, -1 for parts that are judged together. */
    int position(String part) {
        PartCrashes found = crashesByPart.get(part);
        return found == null ? 0 : found.position;
    }

    /** Time of the last crash with a part, the smallest number if there is none. */
    long lastCrashMillis(String part) {
        PartCrashes found = crashesByPart.get(part);
        return found == null ? Long.MIN_VALUE : found.lastCrashMillis;
    }

    /**
     * Crashes that are not refuted, with a part.
     *
     * @param part the part
     * @return the crashes in order
     */
    List<EndpointCrash> crashesWith(String part) {
        PartCrashes found = crashesByPart.get(part);
        if (found == null) {
            return List.of();
        }
        List<EndpointCrash> with = new ArrayList<>();
        found.lastSentByEndpoint.keySet().forEach(endpoint -> {
            EndpointCrash crash = crashes.get(endpoint);
            if (crash != null) {
                with.add(crash);
            }
        });
        with.sort(IN_ORDER);
        return with;
    }

    /** Last time at which a request with a part was sent to an endpoint that crashed then. */
    long lastSentMillis(String part, EndpointCrash crash) {
        PartCrashes found = crashesByPart.get(part);
        return found == null ? Long.MIN_VALUE : found.lastSentByEndpoint.getOrDefault(crash.endpoint(), Long.MIN_VALUE);
    }

    private void rebuildIndex() {
        crashesByPart.clear();
        repeatedParts.clear();
        for (EndpointCrash crash : crashes.values()) {
            if (!crash.refuted()) {
                crash.suspects().forEach(suspect -> index(crash, suspect));
            }
        }
    }

    private void index(EndpointCrash crash, SuspectRequest suspect) {
        for (int position = 0; position < suspect.parts().size(); position++) {
            String part = suspect.parts().get(position);
            PartCrashes entry = crashesByPart.computeIfAbsent(part, ignored -> new PartCrashes());
            entry.position = part.equals(PromptParts.REMAINDER) ? -1 : Math.max(entry.position, position);
            entry.lastSentByEndpoint.merge(crash.endpoint(), suspect.sentAtMillis(), Math::max);
            entry.firstCrashMillis = Math.min(entry.firstCrashMillis, crash.atMillis());
            entry.lastCrashMillis = Math.max(entry.lastCrashMillis, crash.atMillis());
            entry.lastSentMillis = Math.max(entry.lastSentMillis, suspect.sentAtMillis());
            if (entry.lastSentByEndpoint.size() > 1 && entry.lastSentMillis >= entry.firstCrashMillis) {
                repeatedParts.add(part);
            }
        }
    }
}
