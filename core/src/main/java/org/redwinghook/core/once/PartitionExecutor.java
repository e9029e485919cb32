package org.redwinghook.core.once;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.KeyStage;

/**
 * Decides for one executor and one partition which claims are run. An attempt runs only after the executor has read its
 * own intent back and found it to be the winner. Not thread-safe.
 */
public final class PartitionExecutor {

    private static final int MAXIMUM_INTENTS_PER_BATCH = 256;
    private static final int MAXIMUM_OUTCOMES_PER_BATCH = 32;

    /** Attempts that were not run and are remembered to answer questions of other executors. */
    private static final int MAXIMUM_REMEMBERED_NOT_RUN = 10_000;

    private final ExecutorIdentity self;
    private final PartitionFold fold = new PartitionFold();
    private final Map<Long, Attempt> attempts = new LinkedHashMap<>();
    private final Map<OperationKey, Attempt> attemptsByKey = new HashMap<>();
    private final Map<Long, Outcome> unconfirmedOutcomes = new LinkedHashMap<>();
    private final Set<Long> notRunAttempts = new LinkedHashSet<>();
    private long lastSequence;
    private boolean isAppending;

    /**
     * Creates an executor that has read no records.
     *
     * @param self identity of this executor
     */
    public PartitionExecutor(ExecutorIdentity self) {
        this.self = self;
    }

    /**
     * Adds a claim. If it gets no verdict at once, it waits for the log or for a running attempt.
     *
     * @param claim the claim
     * @param wallMillis time now in milliseconds since 1970
     * @param windowMillis time for which keys are remembered
     * @return verdicts that can be given at once
     */
    public List<Verdict> offer(Claim claim, long wallMillis, long windowMillis) {
        Attempt attempt = attemptsByKey.get(claim.key());
        if (attempt != null) {
            return joinAttempt(attempt, claim);
        }
        // An entry whose window has passed by this clock may be outdated, and so may an entry without an outcome, whose
        // attempt may have ended since the stream was read. In both cases a new intent is appended, and the log
        // decides.
        Optional<KeyEntry> entry = fold.find(claim.key())
                .filter(found -> found.lastIntentMillis() + windowMillis > wallMillis)
                .filter(found -> found.outcome() != null);
        if (entry.isPresent()) {
            return List.of(verdictFor(claim, entry.get()));
        }
        Attempt created = new Attempt(new Intent(claim.number(), claim.key(), claim.requestHash()), claim);
        attempts.put(claim.number(), created);
        attemptsByKey.put(claim.key(), created);
        return List.of();
    }

    /**
     * Creates the next record to append. The record must be appended once; the append must not be retried.
     *
     * @return the record, empty if there is nothing to append or the previous append is still in progress
     */
    public Optional<IntentBatch> nextBatch() {
        if (isAppending || !hasPendingAppends()) {
            return Optional.empty();
        }
        List<Intent> intents = new ArrayList<>();
        for (Attempt attempt : attempts.values()) {
            if (attempt.stage() == Attempt.Stage.QUEUED && intents.size() < MAXIMUM_INTENTS_PER_BATCH) {
                attempt.markAppended();
                intents.add(attempt.intent());
            }
        }
        List<Outcome> outcomes = unconfirmedOutcomes.values().stream()
                .limit(MAXIMUM_OUTCOMES_PER_BATCH)
                .toList();
        isAppending = true;
        lastSequence++;
        return Optional.of(new IntentBatch(self, lastSequence, outcomes, intents));
    }

    /**
     * Stops waiting for the record of the last append, for example because the append was not acknowledged. The record
     * may still appear on the log; its outcomes are appended again.
     */
    public void abandonAppend() {
        isAppending = false;
    }

    /**
     * Folds the next record of the stream.
     *
     * @param batch the record
     * @param offset offset of the record
     * @param timestampMillis log time of the record in milliseconds since 1970
     * @param windowMillis time for which keys are remembered
     * @param nowMillis monotonic time now
     * @return verdicts that the record decides
     */
    public List<Verdict> apply(
            IntentBatch batch, long offset, long timestampMillis, long windowMillis, long nowMillis) {
        Set<Long> won = fold.apply(batch, offset, timestampMillis, windowMillis);
        if (!batch.executor().equals(self)) {
            return List.of();
        }
        if (batch.sequence() == lastSequence) {
            isAppending = false;
        }
        batch.outcomes().forEach(this::confirmOutcome);
        List<Verdict> verdicts = new ArrayList<>();
        for (Intent intent : batch.intents()) {
            if (won.contains(intent.number())) {
                handleWonIntent(intent, nowMillis, verdicts);
            } else {
                handleLostIntent(intent, verdicts);
            }
        }
        return verdicts;
    }

    /**
     * Ends all claims that wait for the log, because the log cannot be reached.
     *
     * @return the verdicts
     */
    public List<Verdict> failPendingClaims() {
        List<Verdict> verdicts = new ArrayList<>();
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (attempt.isPending()) {
                addNotRunVerdicts(attempt.claims(), NotRunCause.LOG_UNAVAILABLE, verdicts);
                abandonAttempt(attempt);
            }
        }
        return verdicts;
    }

    /**
     * Ends the claims whose deadline has passed.
     *
     * @param nowMillis monotonic time now
     * @return the verdicts
     */
    public List<Verdict> expireClaims(long nowMillis) {
        List<Verdict> verdicts = new ArrayList<>();
        for (Attempt attempt : List.copyOf(attempts.values())) {
            expireClaims(attempt, nowMillis, verdicts);
        }
        return verdicts;
    }

    /**
     * Ends a running attempt.
     *
     * @param number number of the attempt
     * @param kind how it ended
     * @param answer answer of the service if it is done
     * @return verdicts for all claims of the attempt
     */
    public List<Verdict> completeAttempt(long number, OutcomeKind kind, @Nullable StoredAnswer answer) {
        Attempt attempt = attempts.get(number);
        if (attempt == null || attempt.stage() != Attempt.Stage.RUNNING) {
            return List.of();
        }
        List<Verdict> verdicts = new ArrayList<>();
        for (Claim claim : attempt.claims()) {
            verdicts.add(verdictForOutcome(claim, kind, answer, claim.number() != attempt.runningClaim()));
        }
        StoredAnswer stored = answer != null && answer.fitsLog() ? answer : null;
        Outcome outcome = new Outcome(number, attempt.intent().key(), kind, stored);
        attempt.markEnded(outcome);
        unconfirmedOutcomes.put(number, outcome);
        return verdicts;
    }

    /**
     * Answers another executor's question about an attempt of this one.
     *
     * @param key the key
     * @param number number of the attempt
     * @return the report
     */
    public KeyReport report(OperationKey key, long number) {
        Attempt attempt = attempts.get(number);
        if (attempt != null) {
            Outcome outcome = attempt.outcome();
            return outcome == null ? new KeyReport(KeyStage.RUNNING, null) : KeyReport.of(outcome);
        }
        if (notRunAttempts.contains(number)) {
            return new KeyReport(KeyStage.NOT_RUN, null);
        }
        Outcome outcome = fold.find(key)
                .filter(entry -> entry.isWonBy(self, number))
                .map(KeyEntry::outcome)
                .orElse(null);
        return outcome == null ? new KeyReport(KeyStage.UNKNOWN, null) : KeyReport.of(outcome);
    }

    /**
     * Whether the stream must be read further, because an appended intent or outcome of this executor has not been read
     * back.
     *
     * @return true while a record of this executor is missing
     */
    public boolean isAwaitingRecords() {
        return isAppending || attempts.values().stream().anyMatch(attempt -> attempt.stage() == Attempt.Stage.APPENDED);
    }

    /**
     * Whether there are intents or outcomes that are not on the log.
     *
     * @return true if an append is due
     */
    public boolean hasPendingAppends() {
        return !unconfirmedOutcomes.isEmpty()
                || attempts.values().stream().anyMatch(attempt -> attempt.stage() == Attempt.Stage.QUEUED);
    }

    /**
     * Number of attempts that wait for the log.
     *
     * @return the number
     */
    public int pendingIntents() {
        return (int) attempts.values().stream().filter(Attempt::isPending).count();
    }

    /**
     * Number of attempts that run at the endpoint.
     *
     * @return the number
     */
    public int runningAttempts() {
        return (int) attempts.values().stream()
                .filter(attempt -> attempt.stage() == Attempt.Stage.RUNNING)
                .count();
    }

    /**
     * Number of outcomes that have not been read back.
     *
     * @return the number
     */
    public int pendingOutcomes() {
        return unconfirmedOutcomes.size();
    }

    /**
     * Number of keys remembered.
     *
     * @return the number
     */
    public int keys() {
        return fold.size();
    }

    /**
     * Clears the fold before reading continues at a later offset, because the records in between are no longer on the
     * log.
     */
    public void resetFold() {
        fold.clear();
    }

    private List<Verdict> joinAttempt(Attempt attempt, Claim claim) {
        Outcome outcome = attempt.outcome();
        if (outcome != null && outcome.kind() == OutcomeKind.NOT_RUN) {
            return List.of(new Verdict.NotRun(claim.number(), NotRunCause.EARLIER_ATTEMPT));
        }
        if (!attempt.intent().requestHash().equals(claim.requestHash())) {
            return List.of(new Verdict.Conflict(claim.number()));
        }
        if (outcome != null) {
            return List.of(verdictForOutcome(claim, outcome.kind(), outcome.answer(), true));
        }
        attempt.claims().add(claim);
        return List.of();
    }

    private Verdict verdictFor(Claim claim, KeyEntry entry) {
        if (!entry.winner().requestHash().equals(claim.requestHash())) {
            return new Verdict.Conflict(claim.number());
        }
        if (entry.answerOffset() != 0) {
            return new Verdict.Replay(claim.number(), claim.key(), entry.answerOffset());
        }
        Outcome outcome = entry.outcome();
        if (outcome != null) {
            return verdictForOutcome(claim, outcome.kind(), outcome.answer(), true);
        }
        if (!entry.executor().equals(self)) {
            return new Verdict.Ask(
                    claim.number(), entry.executor(), entry.winner().number());
        }
        return report(claim.key(), entry.winner().number()).stage() == KeyStage.NOT_RUN
                ? new Verdict.NotRun(claim.number(), NotRunCause.EARLIER_ATTEMPT)
                : new Verdict.Unknown(claim.number(), "the end of an earlier attempt is not known");
    }

    private static Verdict verdictForOutcome(
            Claim claim, OutcomeKind kind, @Nullable StoredAnswer answer, boolean replayed) {
        return switch (kind) {
            case DONE ->
                answer == null
                        ? new Verdict.Unknown(
                                claim.number(), "the call has run, but its answer is too large to be kept")
                        : new Verdict.Answered(claim.number(), answer, replayed);
            case NOT_RUN -> new Verdict.NotRun(claim.number(), NotRunCause.ENDPOINT);
            case UNKNOWN -> new Verdict.Unknown(claim.number(), "the answer of the service was lost");
        };
    }

    private void handleWonIntent(Intent intent, long nowMillis, List<Verdict> verdicts) {
        Attempt attempt = attempts.get(intent.number());
        if (attempt == null) {
            releaseKey(intent);
            return;
        }
        if (attempt.stage() != Attempt.Stage.APPENDED) {
            return;
        }
        // The caller's deadline may have passed during a pause since the append.
        expireClaims(attempt, nowMillis, verdicts);
        if (attempt.claims().isEmpty()) {
            releaseKey(intent);
            return;
        }
        long claim = attempt.claims().get(0).number();
        attempt.markRunning(claim);
        verdicts.add(new Verdict.Run(claim, intent.number()));
    }

    private void handleLostIntent(Intent intent, List<Verdict> verdicts) {
        Attempt attempt = attempts.get(intent.number());
        if (attempt == null || attempt.stage() != Attempt.Stage.APPENDED) {
            return;
        }
        KeyEntry entry = fold.find(intent.key()).orElseThrow();
        removeAttempt(attempt);
        attempt.claims().forEach(claim -> verdicts.add(verdictFor(claim, entry)));
    }

    private void releaseKey(Intent intent) {
        unconfirmedOutcomes.put(intent.number(), new Outcome(intent.number(), intent.key(), OutcomeKind.NOT_RUN, null));
    }

    private void confirmOutcome(Outcome outcome) {
        unconfirmedOutcomes.remove(outcome.number());
        Attempt attempt = attempts.get(outcome.number());
        if (attempt == null) {
            return;
        }
        removeAttempt(attempt);
        if (outcome.kind() == OutcomeKind.NOT_RUN) {
            rememberNotRun(outcome.number());
        }
    }

    private void expireClaims(Attempt attempt, long nowMillis, List<Verdict> verdicts) {
        List<Claim> expired = attempt.claims().stream()
                .filter(claim -> claim.deadlineMillis() <= nowMillis)
                .toList();
        if (expired.isEmpty()) {
            return;
        }
        attempt.claims().removeAll(expired);
        if (attempt.isPending() && attempt.claims().isEmpty()) {
            addNotRunVerdicts(expired, NotRunCause.DEADLINE, verdicts);
            abandonAttempt(attempt);
            return;
        }
        // The attempt is running or has other claims that may still run it, so "not run" could become false.
        expired.forEach(claim -> verdicts.add(
                new Verdict.Unknown(claim.number(), "the call had not ended when the caller's timeout passed")));
    }

    private static void addNotRunVerdicts(Collection<Claim> claims, NotRunCause cause, List<Verdict> verdicts) {
        claims.forEach(claim -> verdicts.add(new Verdict.NotRun(claim.number(), cause)));
    }

    private void abandonAttempt(Attempt attempt) {
        removeAttempt(attempt);
        rememberNotRun(attempt.intent().number());
    }

    private void rememberNotRun(long number) {
        notRunAttempts.add(number);
        if (notRunAttempts.size() > MAXIMUM_REMEMBERED_NOT_RUN) {
            Iterator<Long> oldest = notRunAttempts.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private void removeAttempt(Attempt attempt) {
        attempts.remove(attempt.intent().number());
        attemptsByKey.remove(attempt.intent().key(), attempt);
    }
}
