package org.redwinghook.runtime.usage;

import java.util.function.BiFunction;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.usage.UsageLedger;
import org.redwinghook.core.usage.UsageRecord;

/**
 * Appends usage records to the log. A record is repeated unchanged until its append has succeeded, so readers can tell
 * copies by the sequence number. Counts are cumulative, so an outage of the log only delays them.
 */
public final class UsageReporter {

    /** Stream of usage records. */
    public static final String STREAM = "usage";

    /** Usual time between two records, in milliseconds. */
    public static final long DEFAULT_INTERVAL_MILLIS = 10_000;

    private static final int MAXIMUM_APPENDS_AT_STOP = 5;

    private final Vertx vertx;
    private final BiFunction<String, Buffer, Future<Long>> append;
    private final UsageLedger ledger;
    private final long intervalMillis;
    private final ObjectMapper mapper = new ObjectMapper();
    private @Nullable Buffer pendingRecord;
    private @Nullable Future<Void> currentAppend;
    private long timer;

    /**
     * Creates a reporter.
     *
     * @param vertx runs it
     * @param append appends data to a stream; a failure does not tell whether it was appended
     * @param ledger counts to report
     * @param intervalMillis time between two records
     */
    public UsageReporter(
            Vertx vertx, BiFunction<String, Buffer, Future<Long>> append, UsageLedger ledger, long intervalMillis) {
        this.vertx = vertx;
        this.append = append;
        this.ledger = ledger;
        this.intervalMillis = intervalMillis;
    }

    /** Starts to report. */
    public void start() {
        timer = vertx.setPeriodic(intervalMillis, ignored -> report());
    }

    /**
     * Reports what is left. Gives up after some appends that failed, so that an outage of the log cannot hold up a
     * stop.
     *
     * @return completes when nothing is left to report or the reporter has given up
     */
    public Future<Void> stop() {
        vertx.cancelTimer(timer);
        return flush(MAXIMUM_APPENDS_AT_STOP);
    }

    /**
     * Appends the pending record, or the next one if none is pending.
     *
     * @return completes when the append has; fails if it has failed
     */
    public Future<Void> report() {
        Future<Void> runningAppend = currentAppend;
        if (runningAppend != null) {
            return runningAppend;
        }
        Buffer record = pendingRecord != null ? pendingRecord : createRecord();
        if (record == null) {
            return Future.succeededFuture();
        }
        pendingRecord = record;
        Promise<Void> completion = Promise.promise();
        currentAppend = completion.future();
        append.apply(STREAM, record).onComplete(result -> {
            currentAppend = null;
            if (result.succeeded()) {
                pendingRecord = null;
                completion.complete();
            } else {
                completion.fail(result.cause());
            }
        });
        return completion.future();
    }

    private Future<Void> flush(int remainingAppends) {
        if (remainingAppends == 0) {
            return Future.succeededFuture();
        }
        return report().transform(result -> {
            boolean hasMore = result.failed() || pendingRecord != null || ledger.hasChanges();
            return hasMore ? flush(remainingAppends - 1) : Future.succeededFuture();
        });
    }

    private @Nullable Buffer createRecord() {
        UsageRecord record = ledger.nextRecord().orElse(null);
        if (record == null) {
            return null;
        }
        try {
            return Buffer.buffer(mapper.writeValueAsBytes(record));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("cannot write a usage record", exception);
        }
    }
}
