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

/** Runs keyed calls at most once. */
public final class KeyedCallService implements StateSource {

    private static final long EXPIRY_CHECK_INTERVAL_MILLIS = 25;

    /** Pause between two questions about an attempt that runs at another executor. */
    private static final long ASK_AGAIN_DELAY_MILLIS = 100;

    private final KeyedCallContext context;
    private final ExecutorClient executorClient;
    private final KeyedCallMetrics metrics;
    private final Map<Integer, PartitionRunner> partitions = new TreeMap<>();
    private final Map<Long, PendingClaim> pendingClaims = new HashMap<>();
    private long lastClaimNumber;
    private final Promise<Void> idle = Promise.promise();
    private final Promise<Void> flushed = Promise.promise();
    private boolean isStopping;

    /**
     * Creates the service.
     *
     * @param context what its partitions share
     * @param inquiry asks other executors
     */
    public KeyedCallService(KeyedCallContext context, ExecutorClient inquiry) {
        this.context = context;
        this.executorClient = inquiry;
        this.metrics = context.metrics();
        context.vertx().setPeriodic(EXPIRY_CHECK_INTERVAL_MILLIS, ignored -> tick());
    }

    /**
     * Latest time at which a keyed call may start.
     *
     * @param deadlineMillis monotonic time after which its caller no longer waits
     * @return that time, or an earlier one at which others might soon forget the key
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
     * @param deadlineMillis monotonic time from {@link #latestStart}
     * @param listener told what happens
     */
    public void claim(OperationKey key, CallRequest call, long deadlineMillis, ClaimListener listener) {
        OptionalLong created = key.createdAtMillis();
        if (created.isPresent()
                && created.getAsLong()
                        < System.currentTimeMillis() - context.windowMillis().getAsLong()) {
            metrics.unknown();
            listener.onOutcomeUnknown("the idempotency key is older than the time for which keys are remembered");
            return;
        }
        openClaim(key, RequestHash.of(call), deadlineMillis, listener);
    }

    /**
     * Notes the end of a run.
     *
     * @param run the run
     * @param kind how it ended
     * @param answer answer of the service if it is done
     */
    public void completeRun(KeyedRun run, OutcomeKind kind, @Nullable StoredAnswer answer) {
        partition(run.partition()).completeAttempt(run.attempt(), kind, answer);
    }

    /**
     * Answers another sidecar's question.
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
     * Waits until every claim is answered and no keyed call runs. New claims must not come any more.
     *
     * @return completes then
     */
    public Future<Void> idle() {
        isStopping = true;
        tick();
        return idle.future();
    }

    /**
     * Waits until all outcomes are on the log after {@link #idle} has completed.
     *
     * @return completes then
     */
    public Future<Void> flushed() {
        return flushed.future();
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
                created -> new PartitionRunner(
                        context, created, this::intervalMillis, verdict -> handleVerdict(created, verdict)));
    }

    private long intervalMillis() {
        int busy = (int) partitions.values().stream()
                .filter(PartitionRunner::hasPendingAppends)
                .count();
        return BatchInterval.millis(context.executorCount().getAsInt(), busy);
    }

    private void tick() {
        partitions.values().forEach(PartitionRunner::expireClaims);
        if (!isStopping
                || !pendingClaims.isEmpty()
                || !partitions.values().stream().allMatch(PartitionRunner::isIdle)) {
            return;
        }
        idle.tryComplete();
        if (partitions.values().stream().noneMatch(PartitionRunner::hasPendingAppends)) {
            flushed.tryComplete();
        }
    }

    private void handleVerdict(int partition, Verdict verdict) {
        PendingClaim claim = pendingClaims.get(verdict.claim());
        if (claim == null) {
            return;
        }
        if (verdict instanceof Verdict.Run run) {
            metrics.run();
            claim.listener().onRunGranted(new KeyedRun(partition, run.attempt()));
        } else if (verdict instanceof Verdict.Ask ask) {
            ask(claim, ask);
        } else if (verdict instanceof Verdict.Answered answered) {
            reportAnswered(claim, answered.answer(), answered.replayed());
        } else if (verdict instanceof Verdict.NotRun notRun) {
            reportNotRun(claim, notRun.cause());
        } else if (verdict instanceof Verdict.Unknown unknown) {
            reportUnknown(claim, unknown.detail());
        } else if (verdict instanceof Verdict.Conflict) {
            closeClaim(claim);
            metrics.conflict();
            claim.listener().onKeyConflict();
        }
    }

    private void ask(PendingClaim claim, Verdict.Ask ask) {
        if (ask.executor().process().equals(context.self().process())) {
            reportUnknown(claim, "the sidecar was restarted after it had taken the call");
            return;
        }
        metrics.asked();
        executorClient
                .ask(ask.executor(), claim.claim().key(), ask.attempt())
                .onSuccess(answer -> handleKeyAnswer(claim, ask, answer))
                .onFailure(failure -> reportUnknown(claim, "the sidecar that took the call does not answer"));
    }

    private void handleKeyAnswer(PendingClaim claim, Verdict.Ask ask, KeyAnswer answer) {
        byte[] body = answer.body();
        switch (answer.stage()) {
            case RUNNING -> askAgainLater(claim, ask);
            case NOT_RUN -> reportNotRun(claim, NotRunCause.EARLIER_ATTEMPT);
            case UNKNOWN -> reportUnknown(claim, "the sidecar that took the call does not know its end");
            case DONE -> {
                if (body == null) {
                    claimAgainLater(claim);
                    return;
                }
                reportAnswered(claim, new StoredAnswer(answer.status(), answer.contentType(), body), true);
            }
            default -> throw new IllegalStateException("unknown stage " + answer.stage());
        }
    }

    /** The outcome is on the log or about to be; a new intent makes sure that it is read. */
    private void claimAgainLater(PendingClaim claim) {
        if (claim.claim().deadlineMillis() <= EndpointGate.nowMillis()) {
            reportUnknown(claim, "the call has run, but its answer was not read before the caller's timeout passed");
            return;
        }
        context.vertx().setTimer(ASK_AGAIN_DELAY_MILLIS, ignored -> {
            closeClaim(claim);
            openClaim(
                    claim.claim().key(),
                    claim.claim().requestHash(),
                    claim.claim().deadlineMillis(),
                    claim.listener());
        });
    }

    private void openClaim(OperationKey key, String requestHash, long deadlineMillis, ClaimListener listener) {
        lastClaimNumber++;
        Claim claim = new Claim(lastClaimNumber, key, requestHash, deadlineMillis);
        pendingClaims.put(claim.number(), new PendingClaim(claim, listener));
        partition(key.partition()).offer(claim);
    }

    private void askAgainLater(PendingClaim claim, Verdict.Ask ask) {
        if (claim.claim().deadlineMillis() <= EndpointGate.nowMillis()) {
            reportUnknown(claim, "the call had not ended when the caller's timeout passed");
            return;
        }
        context.vertx().setTimer(ASK_AGAIN_DELAY_MILLIS, ignored -> ask(claim, ask));
    }

    private void reportAnswered(PendingClaim claim, StoredAnswer answer, boolean replayed) {
        closeClaim(claim);
        metrics.answered(replayed);
        claim.listener().onAnswered(answer, replayed);
    }

    private void reportNotRun(PendingClaim claim, NotRunCause cause) {
        closeClaim(claim);
        metrics.notRun();
        claim.listener().onNotRun(cause);
    }

    private void reportUnknown(PendingClaim claim, String detail) {
        closeClaim(claim);
        metrics.unknown();
        claim.listener().onOutcomeUnknown(detail);
    }

    private void closeClaim(PendingClaim claim) {
        pendingClaims.remove(claim.claim().number());
    }

    private record PendingClaim(Claim claim, ClaimListener listener) {}
}
