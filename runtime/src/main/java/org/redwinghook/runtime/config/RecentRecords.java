package org.redwinghook.runtime.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.redwinghook.core.message.RawRecord;

/** The newest records of the log without gaps, bounded in number and bytes. */
public final class RecentRecords {

    private final int mostRecords;
    private final long mostBytes;
    private final Deque<RawRecord> records = new ArrayDeque<>();
    private long bytes;
    private long next = 1;

    /**
     * Creates an empty ring.
     *
     * @param mostRecords most records kept
     * @param mostBytes most bytes kept
     */
    public RecentRecords(int mostRecords, long mostBytes) {
        this.mostRecords = mostRecords;
        this.mostBytes = mostBytes;
    }

    /**
     * Adds the next record. A gap before it drops all earlier ones.
     *
     * @param record the record
     */
    public void add(RawRecord record) {
        if (record.offset() != next) {
            restartAfter(record.offset() - 1);
        }
        records.addLast(record);
        bytes += record.data().length;
        next = record.offset() + 1;
        while (records.size() > mostRecords || bytes > mostBytes) {
            bytes -= records.removeFirst().data().length;
        }
    }

    /**
     * Drops all records and continues after an offset.
     *
     * @param offset the offset
     */
    public void restartAfter(long offset) {
        records.clear();
        bytes = 0;
        next = offset + 1;
    }

    /**
     * Records after an offset.
     *
     * @param offset the offset
     * @return the records, empty if the first of them is no longer kept
     */
    public Optional<List<RawRecord>> after(long offset) {
        long first = next - records.size();
        if (offset + 1 < first) {
            return Optional.empty();
        }
        List<RawRecord> result = new ArrayList<>();
        for (RawRecord record : records) {
            if (record.offset() > offset) {
                result.add(record);
            }
        }
        return Optional.of(result);
    }
}
