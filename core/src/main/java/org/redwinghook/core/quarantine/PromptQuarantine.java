package org.redwinghook.core.quarantine;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.routing.RendezvousHash;

/**
 * Learns from the results of requests which parts of prompts crash endpoints, and admits requests with such a part only
 * as trials, one at a time and less and less often. Routers that have merged the same evidence reach the same
 * conclusions. Times are milliseconds of a monotonic clock.
 */
public final class PromptQuarantine {

    /** Maximum number of trials that are remembered. */
    static final int MAXIMUM_TRIALS = 256;

    /** Maximum number of parts whose last success is remembered. */
    static final int MAXIMUM_SUCCESSES = 8_192;

    /**
     * Maximum number of parts of one request whose success is remembered although they are not under suspicion, so that few
     * requests with many parts do not displace all others.
     */
    static final int MAXIMUM_SUCCESSES_PER_REQUEST = 32;

    /** Time after which evidence is forgotten; that of a quarantined part, after its next trial was due. */
    static final long MEMORY_MILLIS = 600_000;

    /** Maximum age of reported evidence; longer than the longest pause between trials. */
    static final long MAXIMUM_AGE_MILLIS = 7_200_000;

    /** Pause before the first trial; doubles with each trial. */
    static final long FIRST_TRIAL_DELAY_MILLIS = 20_000;

    /** Number of times that the pause between trials doubles. */
    static final int MAXIMUM_DOUBLINGS = 7;

    /**
     * Number of groups of routers that may begin a trial in turn, so that the router that begins first can announce its
     * trial to the others.
     */
    static final int TRIAL_GROUPS = 16;

    /** Time for which one group may begin a trial in the first round after a pause; longer than the transmission of an announcement. */
    static final long TRIAL_TURN_MILLIS = 250;

    /** Time after a crash until which responses of the endpoint may still arrive from its connections. */
    static final long RESPONSE_DELAY_MILLIS = 500;

    /**
     * A success that is newer than the known one by less than this changes nothing; its time varies with each relay by the
     * time of transmission.
     */
    static final long SUCCESS_RESOLUTION_MILLIS = 1_000;

    /** Number of suspect parts up to which each new evidence is judged at once. */
    static final int MAXIMUM_PARTS_JUDGED_AT_ONCE = 512;

    /** Shortest time between judgements of more parts, in milliseconds; evidence that comes in between waits. */
    static final long JUDGEMENT_INTERVAL_MILLIS = 500;

    private final String router;
    private final CrashHistory history = new CrashHistory();
    private final CrashAttribution attribution = new CrashAttribution(history, this::lastSuccessMillis);
    private final Map<String, Long> successes = leastRecentlyUsed();
    private final Map<TrialKey, PartTrial> trials = new LinkedHashMap<>();
    private Map<String, QuarantinedPart> quarantined = Map.of();
    private boolean hasUnjudgedEvidence;
    private long judgedAtMillis = Long.MIN_VALUE / 2;

    /** A trial is known by its part and its request. */
    private record TrialKey(String part, String requestId) {}

    /**
     * Creates a quarantine without evidence.
     *
     * @param router name of the router, which determines when its trials begin
     */
    public PromptQuarantine(String router) {
        this.router = router;
    }

    private static Map<String, Long> leastRecentlyUsed() {
        return new LinkedHashMap<>(16, 0.75f, true) {
            @Override
            protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                return size() > MAXIMUM_SUCCESSES;
            }
        };
    }

    /**
     * Decides whether a request may be sent. A request with a quarantined part whose pause is over becomes its trial.
     *
     * @param requestId identifier of the request
     * @param parts shared parts of its prompt
     * @param nowMillis current time
     * @return the decision
     */
    public PromptAdmission admit(String requestId, List<String> parts, long nowMillis) {
        judgeIfDue(nowMillis);
        if (quarantined.isEmpty()) {
            return PromptAdmission.ADMITTED;
        }
        String request = PromptParts.name(requestId);
        List<PartTrial> begun = new ArrayList<>();
        QuarantinedPart rejectedFor = null;
        long waitMillis = 0;
        for (QuarantinedPart candidate : quarantined.values()) {
            if (!PromptParts.contain(parts, candidate.part())) {
                continue;
            }
            begun.add(new PartTrial(candidate.part(), request, nowMillis, false));
            long candidateWaitMillis = trialWaitMillis(candidate, nowMillis);
            if (candidateWaitMillis > waitMillis) {
                waitMillis = candidateWaitMillis;
                rejectedFor = candidate;
            }
        }
        if (rejectedFor != null) {
            return new PromptAdmission(rejectedFor, waitMillis, List.of());
        }
        if (begun.isEmpty()) {
            return PromptAdmission.ADMITTED;
        }
        begun.forEach(this::addTrial);
        update(nowMillis);
        return new PromptAdmission(null, 0, begun);
    }

    /** Time until this router may begin a trial, 0 or less if it may now. */
    private long trialWaitMillis(QuarantinedPart part, long nowMillis) {
        long group = (long) (TRIAL_GROUPS * RendezvousHash.position(RendezvousHash.hash(router), part.part()));
        long turnMillis = group * TRIAL_TURN_MILLIS;
        long elapsedMillis = nowMillis - part.nextTrialMillis();
        if (elapsedMillis < turnMillis) {
            return turnMillis - elapsedMillis;
        }
        // After a round without a trial requests are too rare to arrive in the turn of their router.
        boolean isTurnOver = elapsedMillis >= turnMillis + TRIAL_TURN_MILLIS;
        return isTurnOver ? Math.max(0, TRIAL_GROUPS * TRIAL_TURN_MILLIS - elapsedMillis) : 0;
    }

    /**
     * Records that a request that was admitted as a trial ended without an endpoint that received or ran it. The next
     * trial begins after the same pause again.
     *
     * @param requestId identifier of the request
     * @param parts shared parts of its prompt
     * @param nowMillis current time
     * @return evidence for the other routers, empty if the request was no trial
     */
    public QuarantineEvidence recordUnusedTrial(String requestId, List<String> parts, long nowMillis) {
        String request = PromptParts.name(requestId);
        List<PartTrial> unused = new ArrayList<>();
        for (PartTrial known : trials.values()) {
            if (known.requestId().equals(request) && !known.unused() && PromptParts.contain(parts, known.part())) {
                unused.add(new PartTrial(known.part(), request, known.startedAtMillis(), true));
            }
        }
        if (unused.isEmpty()) {
            return QuarantineEvidence.NONE;
        }
        unused.forEach(this::addTrial);
        update(nowMillis);
        return new QuarantineEvidence(List.of(), List.of(), unused);
    }

    /**
     * Records that an endpoint closed the connection of a request whose answer had not begun.
     *
     * @param endpoint the endpoint and the start of it
     * @param suspect the request
     * @param nowMillis current time
     * @return evidence for the other routers
     */
    public QuarantineEvidence recordCrash(String endpoint, SuspectRequest suspect, long nowMillis) {
        if (suspect.parts().isEmpty()) {
            return QuarantineEvidence.NONE;
        }
        SuspectRequest named = new SuspectRequest(
                PromptParts.name(suspect.requestId()), PromptParts.suspects(suspect.parts()), suspect.sentAtMillis());
        EndpointCrash crash = new EndpointCrash(PromptParts.name(endpoint), nowMillis, List.of(named), false);
        if (mergeCrash(crash, nowMillis) == null) {
            return QuarantineEvidence.NONE;
        }
        update(nowMillis);
        return new QuarantineEvidence(List.of(crash), knownSuccesses(named.parts(), nowMillis), List.of());
    }

    /**
     * Records that an endpoint produced an answer.
     *
     * @param parts shared parts of the prompt
     * @param nowMillis current time
     * @return evidence for the other routers, empty unless a part was under suspicion
     */
    public QuarantineEvidence recordSuccess(List<String> parts, long nowMillis) {
        List<PartSuccess> cleared = new ArrayList<>();
        for (int index = 0; index < parts.size(); index++) {
            String part = parts.get(index);
            long lastCrash = history.lastCrashMillis(part);
            if (lastCrash > lastSuccessMillis(part)) {
                cleared.add(new PartSuccess(part, nowMillis));
            }
            if (index < MAXIMUM_SUCCESSES_PER_REQUEST || lastCrash > Long.MIN_VALUE) {
                successes.put(part, nowMillis);
            }
        }
        if (cleared.isEmpty()) {
            return QuarantineEvidence.NONE;
        }
        update(nowMillis);
        return new QuarantineEvidence(List.of(), cleared, List.of());
    }

    /**
     * Records a part of a response. Refutes the crash of an endpoint that still works on a request from before it: it has
     * closed single connections only.
     *
     * @param endpoint the endpoint and the start of it
     * @param sentAtMillis time at which the request was sent
     * @param nowMillis current time
     * @return evidence for the other routers, empty unless a crash was refuted
     */
    public QuarantineEvidence recordResponse(String endpoint, long sentAtMillis, long nowMillis) {
        EndpointCrash crash = history.find(PromptParts.name(endpoint));
        if (crash == null
                || crash.refuted()
                || sentAtMillis > crash.atMillis()
                || nowMillis - crash.atMillis() < RESPONSE_DELAY_MILLIS) {
            return QuarantineEvidence.NONE;
        }
        EndpointCrash refuted = new EndpointCrash(crash.endpoint(), crash.atMillis(), List.of(), true);
        mergeCrash(refuted, nowMillis);
        update(nowMillis);
        return new QuarantineEvidence(List.of(refuted), List.of(), List.of());
    }

    /**
     * Merges evidence of another router.
     *
     * @param evidence the evidence
     * @param nowMillis current time
     * @return what was new, and what this router knows about the parts concerned
     */
    public MergedEvidence merge(QuarantineEvidence evidence, long nowMillis) {
        List<EndpointCrash> newCrashes = new ArrayList<>();
        Set<String> concerned = new LinkedHashSet<>();
        for (EndpointCrash crash : evidence.crashes()) {
            EndpointCrash added = mergeCrash(crash, nowMillis);
            if (added != null) {
                newCrashes.add(added);
                added.suspects().forEach(suspect -> concerned.addAll(suspect.parts()));
            }
        }
        List<PartSuccess> newSuccesses = new ArrayList<>();
        for (PartSuccess success : evidence.successes()) {
            concerned.remove(success.part());
            if (mergeSuccess(success, nowMillis)) {
                newSuccesses.add(success);
            }
        }
        List<PartTrial> newTrials = new ArrayList<>();
        for (PartTrial trial : evidence.trials()) {
            if (isValid(trial, nowMillis) && addTrial(trial)) {
                newTrials.add(trial);
            }
        }
        update(nowMillis);
        return new MergedEvidence(
                new QuarantineEvidence(newCrashes, newSuccesses, newTrials),
                new QuarantineEvidence(List.of(), knownSuccesses(concerned, nowMillis), List.of()));
    }

    /**
     * All that a router needs to reach the same conclusions.
     *
     * @param nowMillis current time
     * @return the evidence
     */
    public QuarantineEvidence evidence(long nowMillis) {
        update(nowMillis);
        return new QuarantineEvidence(
                List.copyOf(history.all()), knownSuccesses(history.parts(), nowMillis), List.copyOf(trials.values()));
    }

    /**
     * Parts in quarantine.
     *
     * @return the parts
     */
    public Collection<QuarantinedPart> quarantinedParts() {
        return quarantined.values();
    }

    /**
     * Whether any crash is known.
     *
     * @return false if no part is under suspicion
     */
    public boolean hasCrashes() {
        return !history.isEmpty();
    }

    /**
     * Forgets evidence that is too old.
     *
     * @param nowMillis current time
     */
    public void expire(long nowMillis) {
        if (!history.isEmpty() || !trials.isEmpty()) {
            update(nowMillis);
        }
    }

    /** Adds what a crash report has beyond the known ones; null if nothing. */
    private @Nullable EndpointCrash mergeCrash(EndpointCrash reported, long nowMillis) {
        if (!isValidName(reported.endpoint()) || isOutdated(reported.atMillis(), nowMillis)) {
            return null;
        }
        long atMillis = Math.min(reported.atMillis(), nowMillis);
        return history.add(new EndpointCrash(
                reported.endpoint(),
                atMillis,
                reported.suspects().stream()
                        .filter(PromptQuarantine::isValid)
                        .map(suspect -> suspect.sentUntil(atMillis))
                        .toList(),
                reported.refuted()));
    }

    private boolean mergeSuccess(PartSuccess success, long nowMillis) {
        if (!isValidName(success.part())
                || success.part().equals(PromptParts.REMAINDER)
                || isOutdated(success.atMillis(), nowMillis)) {
            return false;
        }
        long atMillis = Math.min(success.atMillis(), nowMillis);
        long known = lastSuccessMillis(success.part());
        long lastCrash = history.lastCrashMillis(success.part());
        boolean clears = known <= lastCrash && lastCrash < atMillis;
        if (known != CrashAttribution.NEVER && !clears && atMillis < known + SUCCESS_RESOLUTION_MILLIS) {
            return false;
        }
        successes.put(success.part(), atMillis);
        return true;
    }

    /** Adds a trial, or that it was unused; returns whether that was unknown. */
    private boolean addTrial(PartTrial trial) {
        TrialKey key = new TrialKey(trial.part(), trial.requestId());
        PartTrial known = trials.putIfAbsent(key, trial);
        if (known == null) {
            return true;
        }
        if (known.unused() || !trial.unused()) {
            return false;
        }
        trials.put(key, new PartTrial(known.part(), known.requestId(), known.startedAtMillis(), true));
        return true;
    }

    private List<PartSuccess> knownSuccesses(Collection<String> parts, long nowMillis) {
        List<PartSuccess> known = new ArrayList<>();
        for (String part : parts) {
            long atMillis = lastSuccessMillis(part);
            if (atMillis != CrashAttribution.NEVER && !isOutdated(atMillis, nowMillis)) {
                known.add(new PartSuccess(part, atMillis));
            }
        }
        return known;
    }

    private long lastSuccessMillis(String part) {
        return successes.getOrDefault(part, CrashAttribution.NEVER);
    }

    private void update(long nowMillis) {
        hasUnjudgedEvidence = true;
        judgeIfDue(nowMillis);
    }

    /**
     * Judges the evidence that has come since the last time. Load: crashes of endpoints at which hundreds of requests with
     * hundreds of parts ran; each request is reported by itself, and judging thousands of parts takes milliseconds.
     */
    private void judgeIfDue(long nowMillis) {
        if (!hasUnjudgedEvidence) {
            return;
        }
        if (!history.isFull()
                && history.repeatedParts().size() > MAXIMUM_PARTS_JUDGED_AT_ONCE
                && nowMillis - judgedAtMillis < JUDGEMENT_INTERVAL_MILLIS) {
            return;
        }
        hasUnjudgedEvidence = false;
        judgedAtMillis = nowMillis;
        judge(nowMillis);
    }

    private void judge(long nowMillis) {
        attribute();
        boolean changed = history.limit(
                crash -> crash.atMillis() < nowMillis - MEMORY_MILLIS && !isNeeded(crash, nowMillis),
                crash -> isNeeded(crash, nowMillis));
        trials.values()
                .removeIf(trial ->
                        trial.startedAtMillis() < nowMillis - MEMORY_MILLIS && !quarantined.containsKey(trial.part()));
        removeEldest(trials, MAXIMUM_TRIALS);
        if (changed) {
            attribute();
        }
    }

    /** Whether a crash belongs to a part that is still waiting for its next trial. */
    private boolean isNeeded(EndpointCrash crash, long nowMillis) {
        for (QuarantinedPart part : quarantined.values()) {
            if (nowMillis < part.nextTrialMillis() + MEMORY_MILLIS
                    && history.lastSentMillis(part.part(), crash) > Long.MIN_VALUE) {
                return true;
            }
        }
        return false;
    }

    private void attribute() {
        Map<String, QuarantinedPart> found = new LinkedHashMap<>();
        attribution.explain().forEach((part, counted) -> found.put(part, quarantinedPart(part, counted)));
        quarantined = found;
    }

    private static <K> void removeEldest(Map<K, ?> entries, int maximumSize) {
        while (entries.size() > maximumSize) {
            entries.remove(entries.keySet().iterator().next());
        }
    }

    private QuarantinedPart quarantinedPart(String part, List<EndpointCrash> counted) {
        long lastAttempt = history.lastCrashMillis(part);
        int started = 0;
        for (PartTrial trial : trials.values()) {
            if (trial.part().equals(part)) {
                started += trial.unused() ? 0 : 1;
                lastAttempt = Math.max(lastAttempt, trial.startedAtMillis());
            }
        }
        long delayMillis = FIRST_TRIAL_DELAY_MILLIS << Math.min(started, MAXIMUM_DOUBLINGS);
        return new QuarantinedPart(
                part,
                counted.stream().map(EndpointCrash::endpoint).toList(),
                counted.get(0).atMillis(),
                started,
                lastAttempt + delayMillis);
    }

    private static boolean isOutdated(long atMillis, long nowMillis) {
        return atMillis < nowMillis - MAXIMUM_AGE_MILLIS;
    }

    private static boolean isValid(SuspectRequest suspect) {
        return isValidName(suspect.requestId())
                && !suspect.parts().isEmpty()
                && suspect.parts().size() <= PromptParts.MAXIMUM_PARTS + 1
                && suspect.parts().stream().allMatch(PromptQuarantine::isValidName);
    }

    private static boolean isValid(PartTrial trial, long nowMillis) {
        return isValidName(trial.part())
                && isValidName(trial.requestId())
                && !isOutdated(trial.startedAtMillis(), nowMillis)
                && trial.startedAtMillis() <= nowMillis;
    }

    private static boolean isValidName(@Nullable String name) {
        return name != null && !name.isEmpty() && name.length() <= PromptParts.MAXIMUM_NAME_LENGTH;
    }
}
