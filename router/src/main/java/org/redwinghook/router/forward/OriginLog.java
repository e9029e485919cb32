package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.IntSupplier;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.origin.OriginBatch;
import org.redwinghook.core.origin.OriginBatches;
import org.redwinghook.core.origin.OriginReadDelay;
import org.redwinghook.core.origin.ServiceVersion;
import org.redwinghook.core.origin.StreamOrigin;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.runtime.json.UntrustedJson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The origins of streams in the store, for a loss of power of all routers. It is read once, before the first write, so that
 * this router does not replace what it wrote before a restart. Confined to one event loop.
 */
final class OriginLog {

    /** Time for which the first origins after a pause are collected into one write, in milliseconds. */
    private static final long FIRST_WRITE_MILLIS = 20;

    /** Pause after a failed write, in milliseconds. */
    private static final long RETRY_MILLIS = 500;

    private static final Logger LOGGER = LoggerFactory.getLogger(OriginLog.class);

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final String self;
    private final OriginStore store;
    private final IntSupplier routerCount;
    private final Consumer<StreamOrigin> receiver;
    private final Runnable readHandler;
    private @Nullable OriginBatches batches;
    private boolean isReading;
    private boolean isWriteScheduled;
    private long nextWriteMillis;
    private int dropped;
    private int failures;

    /**
     * Creates the log.
     *
     * @param vertx timers
     * @param clock monotonic clock
     * @param self name of this router
     * @param store the store
     * @param routerCount number of routers
     * @param receiver receives the origins that the store has
     * @param readHandler called once when the log has been read
     */
    OriginLog(
            Vertx vertx,
            MonotonicClock clock,
            String self,
            OriginStore store,
            IntSupplier routerCount,
            Consumer<StreamOrigin> receiver,
            Runnable readHandler) {
        this.vertx = vertx;
        this.clock = clock;
        this.self = self;
        this.store = store;
        this.routerCount = routerCount;
        this.receiver = receiver;
        this.readHandler = readHandler;
    }

    /** Whether the log has been read. */
    boolean isRead() {
        return batches != null;
    }

    /** Reads the log if it was not read yet. */
    void read() {
        if (isRead() || isReading) {
            return;
        }
        isReading = true;
        long delay = OriginReadDelay.firstMillis(
                routerCount.getAsInt(), ThreadLocalRandom.current().nextDouble());
        if (failures > 0 || delay == 0) {
            readNow();
        } else {
            vertx.setTimer(delay, ignored -> readNow());
        }
    }

    private void readNow() {
        store.readOrigins().onSuccess(this::handleRecords).onFailure(failure -> {
            logFailure("origins not read", failure);
            long pause = OriginReadDelay.afterFailuresMillis(
                    failures, ThreadLocalRandom.current().nextDouble());
            vertx.setTimer(pause, ignored -> isReading = false);
        });
    }

    private void handleRecords(RecordPage page) {
        long lastNumber = -1;
        int origins = 0;
        for (VersionedRecord record : page.records()) {
            byte[] value = record.value();
            OriginBatch batch = value == null ? null : decode(record.key(), value);
            if (batch == null) {
                continue;
            }
            origins += batch.origins().size();
            batch.origins().forEach(receiver);
            if (record.key().equals(key(batch))) {
                lastNumber = Math.max(lastNumber, batch.number());
            }
        }
        LOGGER.info("origins read records={} origins={}", page.records().size(), origins);
        failures = 0;
        batches = new OriginBatches(lastNumber + 1, clock.millis());
        readHandler.run();
    }

    /**
     * Adds the origin of a stream of this router. Has no effect before the log was read.
     *
     * @param origin the origin
     */
    void add(StreamOrigin origin) {
        if (batches == null) {
            return;
        }
        dropped += batches.add(origin);
        scheduleWrite();
    }

    private void scheduleWrite() {
        if (isWriteScheduled) {
            return;
        }
        isWriteScheduled = true;
        vertx.setTimer(Math.max(FIRST_WRITE_MILLIS, nextWriteMillis - clock.millis()), ignored -> write());
    }

    private void write() {
        OriginBatches collected = batches;
        OriginBatch batch = collected == null ? null : collected.next();
        if (collected == null || batch == null) {
            isWriteScheduled = false;
            return;
        }
        if (dropped > 0) {
            LOGGER.warn("origins left out number={}", dropped);
            dropped = 0;
        }
        nextWriteMillis = clock.millis() + OriginBatches.intervalMillis(routerCount.getAsInt());
        store.writeOrigins(key(batch), encode(batch)).onComplete(written -> {
            if (written.succeeded()) {
                collected.recordWritten(clock.millis());
                failures = 0;
            } else {
                logFailure("origins not written", written.cause());
                collected.recordFailure();
                nextWriteMillis = Math.max(nextWriteMillis, clock.millis() + RETRY_MILLIS);
            }
            isWriteScheduled = false;
            if (collected.hasUnwritten()) {
                scheduleWrite();
            }
        });
    }

    /** Logs the first of a series of failures; calls are repeated until they succeed. */
    private void logFailure(String event, Throwable failure) {
        if (failures == 0) {
            LOGGER.warn("{} cause={}", event, failure.toString());
        }
        failures++;
    }

    private String key(OriginBatch batch) {
        return self + "/" + batch.slot();
    }

    private static byte[] encode(OriginBatch batch) {
        Map<ServiceVersion, JsonArray> attempts = new LinkedHashMap<>();
        for (StreamOrigin origin : batch.origins()) {
            attempts.computeIfAbsent(origin.begunAt(), version -> new JsonArray())
                    .add(origin.attempt());
        }
        JsonArray groups = new JsonArray();
        attempts.forEach((version, identifiers) -> groups.add(new JsonObject()
                .put("service", version.service())
                .put("version", version.version())
                .put("attempts", identifiers)));
        return new JsonObject()
                .put("number", batch.number())
                .put("origins", groups)
                .toBuffer()
                .getBytes();
    }

    private static @Nullable OriginBatch decode(String key, byte[] value) {
        try {
            JsonObject fields = UntrustedJson.parseObject(Buffer.buffer(value));
            List<StreamOrigin> origins = new ArrayList<>();
            JsonArray groups = fields.getJsonArray("origins");
            for (int index = 0; index < groups.size(); index++) {
                JsonObject group = groups.getJsonObject(index);
                ServiceVersion begunAt = new ServiceVersion(group.getString("service"), group.getString("version"));
                JsonArray attempts = group.getJsonArray("attempts");
                for (int number = 0; number < attempts.size(); number++) {
                    origins.add(new StreamOrigin(attempts.getString(number), begunAt));
                }
            }
            return new OriginBatch(fields.getLong("number"), origins);
        } catch (DecodeException | ClassCastException | NullPointerException exception) {
            LOGGER.warn("origins unreadable key={} cause={}", key, exception.toString());
            return null;
        }
    }
}
