package org.redwinghook.core.quarantine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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

    private static final Comparator<Candidate> MOST_LIKELY_FIRST = Comparator.comparing(Candidate::hasSucceeded)
            .thenComparing(candidate -> -candidate.crashes().size())
            .thenComparing(candidate -> -candidate.position())
            .thenComparing(Candidate::part);

    private final CrashHistory history;
    private final ToLongFunction<String> lastSuccessMillis;

    /** A part and the crashes that count against it. */
    private record Candidate(String part, int position, boolean hasSucceeded, List<EndpointCrash> crashes) {

        boolean hasEnoughCrashes() {
            return crashes.size() >= (hasSucceeded ? CRASHES_AFTER_SUCCESS : CRASHES_WITHOUT_SUCCESS);
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
     * Finds the parts that explain the crashes.
     *
     * @return for each such part the crashes that count against it, in order
     */
    Map<String, List<EndpointCrash>> explain() {
        Map<String, List<EndpointCrash>> explanation = new LinkedHashMap<>();
        Set<String> explainedEndpoints = new HashSet<>();
        while (true) {
            Optional<Candidate> found = history.repeatedParts().stream()
                    .map(part -> candidate(part, explainedEndpoints))
                    .filter(Candidate::hasEnoughCrashes)
                    .min(MOST_LIKELY_FIRST);
            if (found.isEmpty()) {
                return explanation;
            }
            String part = found.get().part();
            explanation.put(part, found.get().crashes());
            crashesSinceSuccess(part).forEach(crash -> explainedEndpoints.add(crash.endpoint()));
        }
    }

    /**
     * Adds up the crashes that count against a part. One counts only if a request with the part was sent after the one
     * before, so that the simultaneous loss of many endpoints counts once. A request that was at both endpoints was sent to
     * the second one after the crash of the first, also within the same millisecond.
     */
    private Candidate candidate(String part, Set<String> explainedEndpoints) {
        List<EndpointCrash> counted = new ArrayList<>();
        for (EndpointCrash crash : crashesSinceSuccess(part)) {
            EndpointCrash lastCounted = counted.isEmpty() ? null : counted.get(counted.size() - 1);
            if (!explainedEndpoints.contains(crash.endpoint()) && wasSentAfter(lastCounted, part, crash)) {
                counted.add(crash);
            }
        }
        return new Candidate(part, history.position(part), lastSuccessMillis.applyAsLong(part) > NEVER, counted);
    }

    private boolean wasSentAfter(@Nullable EndpointCrash earlier, String part, EndpointCrash crash) {
        if (earlier == null) {
            return true;
        }
        long sentMillis = history.lastSentMillis(part, crash);
        if (sentMillis != earlier.atMillis()) {
            return sentMillis > earlier.atMillis();
        }
        return crash.atMillis() > earlier.atMillis() && crash.sharesSuspectWith(earlier);
    }

    private List<EndpointCrash> crashesSinceSuccess(String part) {
        long lastSuccess = lastSuccessMillis.applyAsLong(part);
        return history.crashesWith(part).stream()
                .filter(crash -> crash.atMillis() > lastSuccess)
                .toList();
    }
}
