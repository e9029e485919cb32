package org.redwinghook.runtime.config;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import org.redwinghook.core.config.ConfigurationRecord;
import org.redwinghook.runtime.platform.LogPage;
import org.redwinghook.runtime.platform.LogRecord;

/** A log in memory whose failures a test chooses. */
final class FakeLog implements ConfigurationLog {

    /** What becomes of an append. */
    enum AppendFault {
        NONE,
        LOST_BEFORE_EFFECT,
        LOST_AFTER_EFFECT,
        /** Takes effect some seconds after it was reported as failed. */
        LATE_EFFECT
    }

    private static final long LATE_MILLIS = 700;

    private final VirtualTime time;
    private final long retentionMillis;
    private final List<LogRecord> records = new ArrayList<>();
    private Runnable beforeNextAppend = () -> {};
    private AppendFault nextAppend = AppendFault.NONE;
    private long readableThrough = Long.MAX_VALUE;
    private long last;
    private boolean isDown;
    private int reads;

    FakeLog(VirtualTime time, long retentionMillis) {
        this.time = time;
        this.retentionMillis = retentionMillis;
    }

    void setDown(boolean value) {
        isDown = value;
    }

    /** Makes reads fail after an offset, as when the log goes down while a reader catches up. */
    void setReadableThrough(long offset) {
        readableThrough = offset;
    }

    void failNextAppend(AppendFault fault) {
        nextAppend = fault;
    }

    void beforeNextAppend(Runnable action) {
        beforeNextAppend = action;
    }

    int reads() {
        return reads;
    }

    List<LogRecord> retained() {
        records.removeIf(entry -> entry.timestampMillis() < time.nowMillis() - retentionMillis);
        return records;
    }

    long put(ConfigurationRecord added) {
        return store(new ConfigurationCodec().encode(added));
    }

    long store(byte[] data) {
        last++;
        records.add(new LogRecord(last, time.nowMillis(), data));
        return last;
    }

    @Override
    public Future<LogPage> read(long from, int limit) {
        reads++;
        if (isDown || from > readableThrough) {
            return Future.failedFuture("connection refused");
        }
        List<LogRecord> page = retained().stream()
                .filter(entry -> entry.offset() >= from && entry.offset() <= readableThrough)
                .limit(limit)
                .toList();
        long first = records.isEmpty() ? last + 1 : records.get(0).offset();
        return Future.succeededFuture(new LogPage(first, last + 1, page));
    }

    @Override
    public Future<Long> append(byte[] data) {
        Runnable before = beforeNextAppend;
        beforeNextAppend = () -> {};
        before.run();
        AppendFault fault = nextAppend;
        nextAppend = AppendFault.NONE;
        if (isDown || fault == AppendFault.LOST_BEFORE_EFFECT) {
            return Future.failedFuture("connection refused");
        }
        if (fault == AppendFault.LATE_EFFECT) {
            time.after(LATE_MILLIS, () -> store(data));
            return Future.failedFuture("timeout");
        }
        long offset = store(data);
        return fault == AppendFault.LOST_AFTER_EFFECT
                ? Future.failedFuture("connection reset")
                : Future.succeededFuture(offset);
    }
}
