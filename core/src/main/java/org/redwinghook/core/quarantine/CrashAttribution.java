package org.redwinghook.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToLongFunction;

import org.jspecify.annotations.Nullable;

/**
 * Attributes crashes of endpoints to parts of prompts. Each crash is attributed to one part, so that sound parts that
 * accompany it do not count: first to parts that never succeeded, then to those with the most crashes, then to the part
 * that comes later in the prompt, as fewer requests share it.
 */
final class CrashAttribution {

    /** Time of the last success of a part that never succeeded. */
    static final long NEVER = Long.MIN_VALUE;

    /** Number of crashes in a row after which a part without any known success is quarantined. */
    static final int CRASHES_WITHOUT_SUCCESS = 2;

    /** Number of crashes in a row after which a part that succeeded before is quarantined. */
    static final int CRASHES_AFTER_SUCCESS = 3;

    private static final Comparator<Candidate> MOST_LIKELY_FIRST = Comparator.comparing(
                    (Candidate candidate) -> candidate.suspicion().hasSucceeded())
            .thenComparing(candidate -> -candidate.crashes().size())
            .thenComparing(candidate -> -candidate.suspicion().position())
            .thenComparing(candidate -> candidate.suspicion().part());

    private final CrashHistory history;
    private final ToLongFunction<String> lastSuccessMillis;

    /** A part and the crashes since its last success, in order. */
    private record Suspicion(String part, int position, boolean hasSucceeded, List<EndpointCrash> crashes) {

        int neededCrashes() {
            return hasSucceeded ? CRASHES_AFTER_SUCCESS : CRASHES_WITHOUT_SUCCESS;
        }

        /** Whether enough crashes are left without those of endpoints that another part explains. */
        boolean isOpen(Set<String> explainedEndpoints) {
            int left = 0;
            for (EndpointCrash crash : crashes) {
                left += explainedEndpoints.contains(crash.endpoint()) ? 0 : 1;
                if (left >= neededCrashes()) {
                    return true;
                }
            }
            return false;
        }
    }

    /** A part and the crashes that count against it. */
    private record Candidate(Suspicion suspicion, List<EndpointCrash> crashes) {

        boolean hasEnoughCrashes() {
            return crashes.size() >= suspicion.neededCrashes();
        }
    }

    /**
     * Creates an attribution.
     *
     * @param history the crashes
     * @param lastSuccessMillis time of the last success of a part, {@link #NEVER} if it never succeeded
     */
    CrashAttribution(CrashHistory history, ToLongFunction<String> lastSuccessMillis) {
        this.history = history;
        this.lastSuccessMillis = lastSuccessMillis;
    }

    /**
     * Finds the parts that explain the crashes. Load: thousands of parts that were in requests at several endpoints that
     * crashed; a part is left out of the later passes once too few of its crashes are unexplained, which nothing changes.
     *
     * @return for each such part the crashes that count against it, in order
     */
    Map<String, List<EndpointCrash>> explain() {
        Map<String, List<EndpointCrash>> explanation = new LinkedHashMap<>();
        Set<String> explainedEndpoints = new HashSet<>();
        SharedSuspects sharedSuspects = new SharedSuspects();
        List<Suspicion> open = new ArrayList<>();
        for (String part : history.repeatedParts()) {
            open.add(suspicion(part));
        }
        while (true) {
            open.removeIf(suspicion -> !suspicion.isOpen(explainedEndpoints));
            Candidate found = null;
            for (Suspicion suspicion : open) {
                Candidate candidate = candidate(suspicion, explainedEndpoints, sharedSuspects);
                if (candidate.hasEnoughCrashes()
                        && (found == null || MOST_LIKELY_FIRST.compare(candidate, found) < 0)) {
                    found = candidate;
                }
            }
            if (found == null) {
                return explanation;
            }
            explanation.put(found.suspicion().part(), found.crashes());
            found.suspicion().crashes().forEach(crash -> explainedEndpoints.add(crash.endpoint()));
        }
    }

    private Suspicion suspicion(String part) {
        long lastSuccess = lastSuccessMillis.applyAsLong(part);
        List<EndpointCrash> crashes = history.crashesWith(part);
        if (lastSuccess > NEVER) {
            crashes = crashes.stream()
                    .filter(crash -> crash.atMillis() > lastSuccess)
                    .toList();
        }
        return new Suspicion(part, history.position(part), lastSuccess > NEVER, crashes);
    }

    /**
     * Adds up the crashes that count against a part. One counts only if a request with the part was sent after the one
     * before, so that the simultaneous loss of many endpoints counts once. A request that was at both endpoints was sent to
     * the second one after the crash of the first, also within the same millisecond.
     */
    private Candidate candidate(Suspicion suspicion, Set<String> explainedEndpoints, SharedSuspects sharedSuspects) {
        List<EndpointCrash> counted = new ArrayList<>();
        EndpointCrash lastCounted = null;
        for (EndpointCrash crash : suspicion.crashes()) {
            if (!explainedEndpoints.contains(crash.endpoint())
                    && wasSentAfter(lastCounted, suspicion.part(), crash, sharedSuspects)) {
                counted.add(crash);
                lastCounted = crash;
            }
        }
        return new Candidate(suspicion, counted);
    }

    private boolean wasSentAfter(
            @Nullable EndpointCrash earlier, String part, EndpointCrash crash, SharedSuspects sharedSuspects) {
        if (earlier == null) {
            return true;
        }
        long sentMillis = history.lastSentMillis(part, crash);
        if (sentMillis != earlier.atMillis()) {
            return sentMillis > earlier.atMillis();
        }
        return crash.atMillis() > earlier.atMillis() && sharedSuspects.exist(crash, earlier);
    }

    /** Which crashes have a suspect request in common; the same two are asked about for each of their parts. */
    private static final class SharedSuspects {

        private final Map<List<String>, Boolean> known = new HashMap<>();

        boolean exist(EndpointCrash crash, EndpointCrash earlier) {
            return known.computeIfAbsent(
                    List.of(crash.endpoint(), earlier.endpoint()), ignored -> crash.sharesSuspectWith(earlier));
        }
    }
}
