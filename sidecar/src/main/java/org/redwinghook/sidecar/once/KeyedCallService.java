package org.redwinghook.sidecar.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.TreeMap;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.CallRequest;
import org.redwinghook.core.message.KeyAnswer;
import org.redwinghook.core.message.KeyQuestion;
import org.redwinghook.core.message.KeyStage;
import org.redwinghook.core.once.BatchInterval;
import org.redwinghook.core.once.Claim;
import org.redwinghook.core.once.ExecutorIdentity;
import org.redwinghook.core.once.KeyReport;
import org.redwinghook.core.once.NotRunCause;
import org.redwinghook.core.once.OperationKey;
import org.redwinghook.core.once.OutcomeKind;
import org.redwinghook.core.once.RequestHash;
import org.redwinghook.core.once.StoredAnswer;
import org.redwinghook.core.once.Verdict;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.sidecar.peer.EndpointGate;

/** Ensures that keyed calls run at most once, and answers other sidecars' questions about them. */
public final class KeyedCallService implements StateSource {

    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 25;

    /** Delay before another executor is asked again, or the key is claimed again. */
    private static final long ASK_AGAIN_DELAY_MILLIS = 100;

    private final KeyedCallContext context;
    private final ExecutorClient executorClient;
    private final KeyedCallMetrics metrics;
    private final Map<Integer, PartitionRunner> partitions = new TreeMap<>();
    private final Map<Long, PendingClaim> pendingClaims = new HashMap<>();
    private long lastClaimNumber;
    private final Promise<Void> idlePromise = Promise.promise();
    private final Promise<Void> flushedPromise = Promise.promise();
    private boolean isStopping;

    /**
     * Creates the service.
     *
     * @param context dependencies that the partitions share
     * @param executorClient client for questions to other executors
     */
    public KeyedCallService(KeyedCallContext context, ExecutorClient executorClient) {
        this.context = context;
        this.executorClient = executorClient;
        this.metrics = context.metrics();
        context.vertx().setPeriodic(EXPIRY_CHECK_INTERVAL_MILLIS, ignored -> tick());
    }

    /**
     * Returns the latest time at which a keyed call may start.
     *
     * @param deadlineMillis monotonic time after which the caller no longer waits
     * @return the deadline, or an earlier time if other executors might forget the key before the deadline
     */
    public long latestStart(long deadlineMillis) {
        return Claim.latestStart(
                deadlineMillis, EndpointGate.nowMillis(), context.windowMillis().getAsLong());
    }

    /**
     * Claims a key for a call.
     *
     * @param key the key
     * @param call the call
     * @param deadlineMillis latest start from {@link #latestStart}
     * @param listener receives the result of the claim
     */
    public void claim(OperationKey key, CallRequest call, long deadlineMillis, ClaimListener listener) {
        OptionalLong created = key.createdAtMillis();
        if (created.isPresent()
                && created.getAsLong()
                        < System.currentTimeMillis() - context.windowMillis().getAsLong()) {
            metrics.recordUnknown();
            listener.onOutcomeUnknown("the idempotency key is older than the time for which keys are remembered");
            return;
        }
        openClaim(key, RequestHash.of(call), deadlineMillis, listener);
    }

    /**
     * Records the outcome of a run.
     *
     * @param run the run
     * @param kind kind of the outcome
     * @param answer answer of the service if the kind is {@code DONE}
     */
    public void completeRun(KeyedRun run, OutcomeKind kind, @Nullable StoredAnswer answer) {
        partition(run.partition()).completeAttempt(run.attempt(), kind, answer);
    }

    /**
     * Answers the question of another sidecar about a key.
     *
     * @param question the question
     * @return the answer
     */
    public KeyAnswer answerQuestion(KeyQuestion question) {
        if (!context.self().equals(new ExecutorIdentity(question.process(), question.incarnation()))) {
            return new KeyAnswer(question.exchange(), KeyStage.UNKNOWN, 0, null, null);
        }
        OperationKey key = new OperationKey(question.customer(), question.key());
        KeyReport report = partition(key.partition()).report(key, question.attempt());
        StoredAnswer answer = report.answer();
        return answer == null
                ? new KeyAnswer(question.exchange(), report.stage(), 0, null, null)
                : new KeyAnswer(
                        question.exchange(), report.stage(), answer.status(), answer.contentType(), answer.body());
    }

    /**
     * Waits until every claim is answered and no keyed call runs. No claims may be made after this call.
     *
     * @return a future that completes then
     */
    public Future<Void> whenIdle() {
        isStopping = true;
        tick();
        return idlePromise.future();
    }

    /**
     * Waits until {@link #whenIdle} has completed and all outcomes are on the log.
     *
     * @return a future that completes then
     */
    public Future<Void> whenFlushed() {
        return flushedPromise.future();
    }

    @Override
    public Object state() {
        List<PartitionState> states = new ArrayList<>();
        partitions.values().forEach(partition -> states.add(partition.state()));
        return new KeyedCallsState(pendingClaims.size(), states);
    }

    private PartitionRunner partition(int number) {
        return partitions.computeIfAbsent(
                number,
                partitionNumber -> new PartitionRunner(
                        context,
                        partitionNumber,
                        this::intervalMillis,
                        verdict -> handleVerdict(partitionNumber, verdict)));
    }

    private long intervalMillis() {
        int busyPartitions = (int) partitions.values().stream()
                .filter(PartitionRunner::hasPendingAppends)
                .count();
        return BatchInterval.millis(context.executorCount().getAsInt(), busyPartitions);
    }

    private void tick() {
        partitions.values().forEach(PartitionRunner::expireClaims);
        if (!isStopping
                || !pendingClaims.isEmpty()
                || !partitions.values().stream().allMatch(PartitionRunner::isIdle)) {
            return;
        }
        idlePromise.tryComplete();
        if (partitions.values().stream().noneMatch(PartitionRunner::hasPendingAppends)) {
            flushedPromise.tryComplete();
        }
    }

    private void handleVerdict(int partition, Verdict verdict) {
        PendingClaim pendingClaim = pendingClaims.get(verdict.claim());
        if (pendingClaim == null) {
            return;
        }
        if (verdict instanceof Verdict.Run run) {
            metrics.recordRun();
            pendingClaim.listener().onRunGranted(new KeyedRun(partition, run.attempt()));
        } else if (verdict instanceof Verdict.Ask ask) {
            ask(pendingClaim, ask);
        } else if (verdict instanceof Verdict.Answered answered) {
            reportAnswered(pendingClaim, answered.answer(), answered.replayed());
        } else if (verdict instanceof Verdict.NotRun notRun) {
            reportNotRun(pendingClaim, notRun.cause());
        } else if (verdict instanceof Verdict.Unknown unknown) {
            reportUnknown(pendingClaim, unknown.detail());
        } else if (verdict instanceof Verdict.Conflict) {
            closeClaim(pendingClaim);
            metrics.recordConflict();
            pendingClaim.listener().onKeyConflict();
        }
    }

    private void ask(PendingClaim pendingClaim, Verdict.Ask ask) {
        if (ask.executor().process().equals(context.self().process())) {
            reportUnknown(pendingClaim, "the sidecar was restarted after it had taken the call");
            return;
        }
        metrics.recordQuestion();
        executorClient
                .ask(ask.executor(), pendingClaim.claim().key(), ask.attempt())
                .onSuccess(answer -> handleKeyAnswer(pendingClaim, ask, answer))
                .onFailure(failure -> reportUnknown(pendingClaim, "the sidecar that took the call does not answer"));
    }

    private void handleKeyAnswer(PendingClaim pendingClaim, Verdict.Ask ask, KeyAnswer answer) {
        byte[] body = answer.body();
        switch (answer.stage()) {
            case RUNNING -> askAgainLater(pendingClaim, ask);
            case NOT_RUN -> reportNotRun(pendingClaim, NotRunCause.EARLIER_ATTEMPT);
            case UNKNOWN -> reportUnknown(pendingClaim, "the sidecar that took the call does not know its end");
            case DONE -> {
                if (body == null) {
                    claimAgainLater(pendingClaim);
                    return;
                }
                reportAnswered(pendingClaim, new StoredAnswer(answer.status(), answer.contentType(), body), true);
            }
            default -> throw new IllegalStateException("unknown stage " + answer.stage());
        }
    }

    /** Claims the key again: the outcome is on the log or about to be, and a new intent ensures that it is read. */
    private void claimAgainLater(PendingClaim pendingClaim) {
        if (pendingClaim.claim().deadlineMillis() <= EndpointGate.nowMillis()) {
            reportUnknown(
                    pendingClaim, "the call has run, but its answer was not read before the caller's timeout passed");
            return;
        }
        context.vertx().setTimer(ASK_AGAIN_DELAY_MILLIS, ignored -> {
            closeClaim(pendingClaim);
            openClaim(
                    pendingClaim.claim().key(),
                    pendingClaim.claim().requestHash(),
                    pendingClaim.claim().deadlineMillis(),
                    pendingClaim.listener());
        });
    }

    private void openClaim(OperationKey key, String requestHash, long deadlineMillis, ClaimListener listener) {
        lastClaimNumber++;
        Claim claim = new Claim(lastClaimNumber, key, requestHash, deadlineMillis);
        pendingClaims.put(claim.number(), new PendingClaim(claim, listener));
        partition(key.partition()).offer(claim);
    }

    private void askAgainLater(PendingClaim pendingClaim, Verdict.Ask ask) {
        if (pendingClaim.claim().deadlineMillis() <= EndpointGate.nowMillis()) {
            reportUnknown(pendingClaim, "the call had not ended when the caller's timeout passed");
            return;
        }
        context.vertx().setTimer(ASK_AGAIN_DELAY_MILLIS, ignored -> ask(pendingClaim, ask));
    }

    private void reportAnswered(PendingClaim pendingClaim, StoredAnswer answer, boolean replayed) {
        closeClaim(pendingClaim);
        metrics.recordAnswer(replayed);
        pendingClaim.listener().onAnswered(answer, replayed);
    }

    private void reportNotRun(PendingClaim pendingClaim, NotRunCause cause) {
        closeClaim(pendingClaim);
        metrics.recordNotRun();
        pendingClaim.listener().onNotRun(cause);
    }

    private void reportUnknown(PendingClaim pendingClaim, String detail) {
        closeClaim(pendingClaim);
        metrics.recordUnknown();
        pendingClaim.listener().onOutcomeUnknown(detail);
    }

    private void closeClaim(PendingClaim pendingClaim) {
        pendingClaims.remove(pendingClaim.claim().number());
    }

    private record PendingClaim(Claim claim, ClaimListener listener) {}
}
