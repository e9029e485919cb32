package org.redwinghook.runtime.config;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import org.redwinghook.core.config.ConfigurationRecord;
import org.redwinghook.runtime.platform.LogPage;
import org.redwinghook.runtime.platform.LogRecord;

/** In-memory log in which a test can inject faults. */
final class FakeLog implements ConfigurationLog {

    /** Fault of an append. */
    enum AppendFault {
        NONE,
        LOST_BEFORE_EFFECT,
        LOST_AFTER_EFFECT,
        /** The append takes effect some time after it has failed. */
        LATE_EFFECT
    }

    private static final long LATE_EFFECT_DELAY_MILLIS = 700;

    private final VirtualTime time;
    private final long retentionMillis;
    private final List<LogRecord> records = new ArrayList<>();
    private Runnable beforeNextAppend = () -> {};
    private AppendFault nextAppendFault = AppendFault.NONE;
    private long readableThrough = Long.MAX_VALUE;
    private long lastOffset;
    private boolean isDown;
    private int readCount;

    FakeLog(VirtualTime time, long retentionMillis) {
        this.time = time;
        this.retentionMillis = retentionMillis;
    }

    void setDown(boolean value) {
        isDown = value;
    }

    /** Makes reads after an offset fail, as when the log becomes unreachable while a follower reads it. */
    void setReadableThrough(long offset) {
        readableThrough = offset;
    }

    void failNextAppend(AppendFault fault) {
        nextAppendFault = fault;
    }

    void beforeNextAppend(Runnable action) {
        beforeNextAppend = action;
    }

    int readCount() {
        return readCount;
    }

    List<LogRecord> retained() {
        records.removeIf(entry -> entry.timestampMillis() < time.nowMillis() - retentionMillis);
        return records;
    }

    long put(ConfigurationRecord added) {
        return store(new ConfigurationCodec().encode(added));
    }

    long store(byte[] data) {
        lastOffset++;
        records.add(new LogRecord(lastOffset, time.nowMillis(), data));
        return lastOffset;
    }

    @Override
    public Future<LogPage> read(long firstOffset, int maximumRecords) {
        readCount++;
        if (isDown || firstOffset > readableThrough) {
            return Future.failedFuture("connection refused");
        }
        List<LogRecord> page = retained().stream()
                .filter(entry -> entry.offset() >= firstOffset && entry.offset() <= readableThrough)
                .limit(maximumRecords)
                .toList();
        long firstRetainedOffset =
                records.isEmpty() ? lastOffset + 1 : records.get(0).offset();
        return Future.succeededFuture(new LogPage(firstRetainedOffset, lastOffset + 1, page));
    }

    @Override
    public Future<Long> append(byte[] data) {
        Runnable before = beforeNextAppend;
        beforeNextAppend = () -> {};
        before.run();
        AppendFault fault = nextAppendFault;
        nextAppendFault = AppendFault.NONE;
        if (isDown || fault == AppendFault.LOST_BEFORE_EFFECT) {
            return Future.failedFuture("connection refused");
        }
        if (fault == AppendFault.LATE_EFFECT) {
            time.schedule(LATE_EFFECT_DELAY_MILLIS, () -> store(data));
            return Future.failedFuture("timeout");
        }
        long offset = store(data);
        return fault == AppendFault.LOST_AFTER_EFFECT
                ? Future.failedFuture("connection reset")
                : Future.succeededFuture(offset);
    }
}
