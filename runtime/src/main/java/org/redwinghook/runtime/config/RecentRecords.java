package org.redwinghook.runtime.config;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

import org.redwinghook.core.message.RawRecord;

/** Buffer of the newest records of the log, contiguous and limited in number and bytes. */
public final class RecentRecords {

    private final int maximumRecords;
    private final long maximumBytes;
    private final Deque<RawRecord> records = new ArrayDeque<>();
    private long totalBytes;
    private long nextOffset = 1;

    /**
     * Creates an empty buffer.
     *
     * @param maximumRecords maximum number of records
     * @param maximumBytes maximum total size of the records
     */
    public RecentRecords(int maximumRecords, long maximumBytes) {
        this.maximumRecords = maximumRecords;
        this.maximumBytes = maximumBytes;
    }

    /**
     * Adds the next record. If offsets are missing before it, all earlier records are dropped.
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
     * Drops all records and expects the record after an offset next.
     *
     * @param offset the offset
     */
    public void restartAfter(long offset) {
        records.clear();
        totalBytes = 0;
        nextOffset = offset + 1;
    }

    /**
     * Returns the records after an offset.
     *
     * @param offset the offset
     * @return the records, or an empty value if the first of them has been dropped
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
