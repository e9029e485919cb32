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
 * Appends usage records to the log. A record is appended again unchanged until an append succeeds, so that readers can
 * recognise copies by the sequence number. Counts are cumulative, so an outage of the log only delays them.
 */
public final class UsageReporter {

    /** Name of the stream of usage records. */
    public static final String STREAM = "usage";

    /** Default time between two records, in milliseconds. */
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
     * @param vertx Vert.x instance that runs the timer
     * @param append appends data to a stream; after a failure the data may have been appended or not
     * @param ledger usage counts to report
     * @param intervalMillis time between two records, in milliseconds
     */
    public UsageReporter(
            Vertx vertx, BiFunction<String, Buffer, Future<Long>> append, UsageLedger ledger, long intervalMillis) {
        this.vertx = vertx;
        this.append = append;
        this.ledger = ledger;
        this.intervalMillis = intervalMillis;
    }

    /** Starts reporting at regular intervals. */
    public void start() {
        timer = vertx.setPeriodic(intervalMillis, ignored -> report());
    }

    /**
     * Stops the timer and reports the remaining counts. The number of appends is limited, so that an outage of the log
     * does not prevent the process from stopping.
     *
     * @return a future that completes when nothing is left to report or the limit is reached
     */
    public Future<Void> stop() {
        vertx.cancelTimer(timer);
        return flush(MAXIMUM_APPENDS_AT_STOP);
    }

    /**
     * Appends the pending record, or a new one if none is pending.
     *
     * @return a future that completes with the append; fails if the append fails
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
            throw new IllegalStateException("cannot encode a usage record", exception);
        }
    }
}
