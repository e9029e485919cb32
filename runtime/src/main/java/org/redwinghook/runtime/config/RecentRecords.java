package org.redwinghook.runtime.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.redwinghook.core.message.RawRecord;

/** The newest records of the log without gaps, bounded in number and bytes. */
public final class RecentRecords {

    private final int maximumRecords;
    private final long maximumBytes;
    private final Deque<RawRecord> records = new ArrayDeque<>();
    private long totalBytes;
    private long nextOffset = 1;

    /**
     * Creates an empty ring.
     *
     * @param maximumRecords most records kept
     * @param maximumBytes most bytes kept
     */
    public RecentRecords(int maximumRecords, long maximumBytes) {
        this.maximumRecords = maximumRecords;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Adds the next record. A gap before it drops all earlier ones.
     *
     * @param record the record
     */
    public void add(RawRecord record) {
        if (record.offset() != nextOffset) {
            restartAfter(record.offset() - 1);
        }
        records.addLast(record);
        totalBytes += record.data().length;
        nextOffset = record.offset() + 1;
        while (records.size() > maximumRecords || totalBytes > maximumBytes) {
            totalBytes -= records.removeFirst().data().length;
        }
    }

    /**
     * Drops all records and continues after an offset.
     *
     * @param offset the offset
     */
    public void restartAfter(long offset) {
        records.clear();
        totalBytes = 0;
        nextOffset = offset + 1;
    }

    /**
     * Records after an offset.
     *
     * @param offset the offset
     * @return the records, empty if the first of them is no longer kept
     */
    public Optional<List<RawRecord>> recordsAfter(long offset) {
        long firstOffset = nextOffset - records.size();
        if (offset + 1 < firstOffset) {
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
