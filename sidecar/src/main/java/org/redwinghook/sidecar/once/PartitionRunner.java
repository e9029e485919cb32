package org.redwinghook.sidecar.once;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.KeyStage;
import org.redwinghook.core.once.Claim;
import org.redwinghook.core.once.IntentBatch;
import org.redwinghook.core.once.KeyReport;
import org.redwinghook.core.once.OperationKey;
import org.redwinghook.core.once.Outcome;
import org.redwinghook.core.once.OutcomeKind;
import org.redwinghook.core.once.PartitionExecutor;
import org.redwinghook.core.once.StoredAnswer;
import org.redwinghook.core.once.Verdict;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.platform.LogPage;
import org.redwinghook.runtime.platform.LogRecord;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends to and reads the log stream of one partition. The stream is read from the first record that the log retains,
 * so an intent is decided only after the whole idempotency window before it was read.
 */
final class PartitionRunner {

    private static final Logger LOGGER = LoggerFactory.getLogger(PartitionRunner.class);
    private static final int RECORDS_PER_PAGE = 500;

    /** Delay before the stream is read again for a record that has not appeared. */
    private static final long READ_AGAIN_DELAY_MILLIS = 50;

    /** Time after a failed read during which new claims are refused immediately. */
    private static final long BACK_OFF_MILLIS = 500;

    private final Vertx vertx;
    private final LogClient log;
    private final IntentCodec codec = new IntentCodec();
    private final int partition;
    private final String stream;
    private final PartitionExecutor executor;
    private final LongSupplier windowMillis;
    private final LongSupplier intervalMillis;
    private final Consumer<Verdict> onVerdict;
    private final KeyedCallMetrics metrics;
    private long nextOffset = 1;
    private long lastAppendMillis;
    private long appendedOffset;
    private boolean isAppendScheduled;
    private boolean isReading;
    private boolean isReadAgainScheduled;
    private boolean isLogUnavailable;

    PartitionRunner(KeyedCallContext context, int partition, LongSupplier intervalMillis, Consumer<Verdict> onVerdict) {
        this.vertx = context.vertx();
        this.log = context.log();
        this.partition = partition;
        this.stream = OperationKey.streamName(context.service(), partition);
        this.executor = new PartitionExecutor(context.self());
        this.windowMillis = context.windowMillis();
        this.intervalMillis = intervalMillis;
        this.onVerdict = onVerdict;
        this.metrics = context.metrics();
        this.lastAppendMillis = EndpointGate.nowMillis() - BACK_OFF_MILLIS;
    }

    void offer(Claim claim) {
        handleVerdicts(executor.offer(claim, System.currentTimeMillis(), windowMillis.getAsLong()));
        if (isLogUnavailable) {
            handleVerdicts(executor.failPendingClaims());
            return;
        }
        scheduleAppend();
    }

    void completeAttempt(long attempt, OutcomeKind kind, @Nullable StoredAnswer answer) {
        handleVerdicts(executor.completeAttempt(attempt, kind, answer));
        scheduleAppend();
    }

    void expireClaims() {
        handleVerdicts(executor.expireClaims(EndpointGate.nowMillis()));
    }

    KeyReport report(OperationKey key, long attempt) {
        KeyReport report = executor.report(key, attempt);
        if (report.stage() == KeyStage.NOT_RUN) {
            // The abandoned intent has appeared on the log; reading it releases the key.
            read();
        }
        return report;
    }

    boolean hasPendingAppends() {
        return executor.hasPendingAppends();
    }

    boolean isIdle() {
        return executor.pendingIntents() == 0 && executor.runningAttempts() == 0;
    }

    PartitionState state() {
        return new PartitionState(
                partition,
                nextOffset,
                executor.keys(),
                executor.pendingIntents(),
                executor.runningAttempts(),
                executor.pendingOutcomes());
    }

    private void scheduleAppend() {
        if (isAppendScheduled || isLogUnavailable || !executor.hasPendingAppends()) {
            return;
        }
        isAppendScheduled = true;
        long delayMillis = lastAppendMillis + intervalMillis.getAsLong() - EndpointGate.nowMillis();
        vertx.setTimer(Math.max(1, delayMillis), ignored -> {
            isAppendScheduled = false;
            executor.nextBatch().ifPresent(this::append);
        });
    }

    private void append(IntentBatch batch) {
        lastAppendMillis = EndpointGate.nowMillis();
        metrics.recordAppend();
        log.append(stream, codec.encode(batch)).onComplete(this::handleAppended, failure -> {
            metrics.recordAppendFailure();
            executor.abandonAppend();
            read();
        });
    }

    private void handleAppended(long offset) {
        appendedOffset = offset;
        read();
    }

    private void read() {
        if (isReading) {
            return;
        }
        isReading = true;
        log.read(stream, nextOffset, RECORDS_PER_PAGE).onComplete(this::handlePage, this::handleReadFailure);
    }

    private void handlePage(LogPage page) {
        isReading = false;
        if (page.firstOffset() > nextOffset) {
            // The log has dropped records that were not yet read, so the state is rebuilt from the first retained one.
            executor.resetFold();
            nextOffset = page.firstOffset();
            read();
            return;
        }
        page.records().forEach(this::applyRecord);
        if (appendedOffset != 0 && nextOffset > appendedOffset) {
            // The append is over even if its record was undecodable or dropped, so that later appends are not blocked.
            appendedOffset = 0;
            executor.abandonAppend();
        }
        scheduleAppend();
        if (nextOffset < page.nextOffset()) {
            read();
        } else if (executor.isAwaitingRecords()) {
            readAgainLater();
        }
    }

    private void applyRecord(LogRecord record) {
        nextOffset = record.offset() + 1;
        // The monotonic clock may stop while a VM is suspended. An intent that is too old by the log's clock is not
        // run, whatever its deadline, because other executors may have forgotten the key.
        long wallMillis = System.currentTimeMillis();
        long latestMillis = Claim.latestStart(Long.MAX_VALUE, record.timestampMillis(), windowMillis.getAsLong());
        long nowMillis = wallMillis > latestMillis ? Long.MAX_VALUE : EndpointGate.nowMillis();
        codec.decode(record.data())
                .onFailure(failure -> metrics.recordUndecodable())
                .onSuccess(batch -> handleVerdicts(executor.apply(
                        batch, record.offset(), record.timestampMillis(), windowMillis.getAsLong(), nowMillis)));
    }

    private void handleReadFailure(Throwable failure) {
        isReading = false;
        metrics.recordReadFailure();
        executor.abandonAppend();
        handleVerdicts(executor.failPendingClaims());
        if (isLogUnavailable) {
            return;
        }
        LOGGER.warn("log read failed stream={} cause={}", stream, failure.getMessage());
        isLogUnavailable = true;
        vertx.setTimer(BACK_OFF_MILLIS, ignored -> {
            isLogUnavailable = false;
            scheduleAppend();
        });
    }

    private void readAgainLater() {
        if (isReadAgainScheduled) {
            return;
        }
        isReadAgainScheduled = true;
        vertx.setTimer(READ_AGAIN_DELAY_MILLIS, ignored -> {
            isReadAgainScheduled = false;
            read();
        });
    }

    private void handleVerdicts(List<Verdict> verdicts) {
        for (Verdict verdict : verdicts) {
            if (verdict instanceof Verdict.Replay replay) {
                replayAnswer(replay);
            } else {
                onVerdict.accept(verdict);
            }
        }
    }

    private void replayAnswer(Verdict.Replay replay) {
        log.read(stream, replay.offset(), 1)
                .map(page -> Optional.ofNullable(findAnswer(page, replay)))
                .otherwise(Optional.empty())
                .onSuccess(answer -> onVerdict.accept(toVerdict(replay, answer)));
    }

    private static Verdict toVerdict(Verdict.Replay replay, Optional<StoredAnswer> answer) {
        return answer.isPresent()
                ? new Verdict.Answered(replay.claim(), answer.get(), true)
                : new Verdict.Unknown(replay.claim(), "the call has run, but its answer cannot be read from the log");
    }

    private @Nullable StoredAnswer findAnswer(LogPage page, Verdict.Replay replay) {
        for (LogRecord record : page.records()) {
            for (Outcome outcome : codec.decode(record.data()).get().outcomes()) {
                if (record.offset() == replay.offset() && outcome.key().equals(replay.key())) {
                    return outcome.answer();
                }
            }
        }
        return null;
    }
}
