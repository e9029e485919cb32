package org.redwinghook.runtime.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;

import io.vavr.control.Try;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.ConfigurationFold;
import org.redwinghook.core.config.ConfigurationRecord;
import org.redwinghook.core.config.PendingChange;
import org.redwinghook.core.config.SectionState;
import org.redwinghook.core.message.ConfigurationPull;
import org.redwinghook.core.message.ConfigurationRecords;
import org.redwinghook.core.message.RawRecord;

/** The folded configuration of a process and the recent records, from which it responds to pulls of its peers. */
final class ConfigurationState {

    private static final int MAXIMUM_RECENT_RECORDS = 2_000;
    private static final long MAXIMUM_RECENT_BYTES = 1024 * 1024;
    /** Size after which a part of a response is complete. Small parts do not delay other messages of the connection. */
    private static final long TARGET_PART_BYTES = 256 * 1024;

    private ConfigurationFold fold = new ConfigurationFold();
    private final RecentRecords recentRecords = new RecentRecords(MAXIMUM_RECENT_RECORDS, MAXIMUM_RECENT_BYTES);
    private final ConfigurationCodec codec;
    private final FollowerMetrics metrics;

    ConfigurationState(ConfigurationCodec codec, FollowerMetrics metrics) {
        this.codec = codec;
        this.metrics = metrics;
    }

    void startAt(long firstOffset) {
        if (firstOffset > fold.offset() + 1) {
            fold.startAt(firstOffset);
            recentRecords.restartAfter(firstOffset - 1);
        }
    }

    void markLogEndReached() {
        fold.markLogEndReached();
    }

    void applyRecords(Collection<RawRecord> records) {
        for (RawRecord raw : records) {
            if (raw.offset() <= fold.offset()) {
                continue;
            }
            recentRecords.add(raw);
            Try<ConfigurationRecord> decoded = codec.decode(raw.data());
            if (decoded.isFailure()) {
                metrics.recordUndecodable();
                fold.skip(raw.offset());
                continue;
            }
            metrics.recordResult(fold.fold(raw.offset(), raw.timestampMillis(), decoded.get())
                    .result());
        }
    }

    void applyPeerState(long through, Collection<SectionState> sections, Collection<PendingChange> pending) {
        if (!fold.isConsistent()) {
            // The records read from the log are incomplete and not in force yet; the sections of the peer replace them.
            fold = new ConfigurationFold();
        }
        if (through > fold.offset()) {
            recentRecords.restartAfter(through);
        }
        fold.applyPeerState(through, sections, pending);
    }

    ConfigurationFold fold() {
        return fold;
    }

    Configuration configuration() {
        return fold.configuration();
    }

    List<ConfigurationRecords> createResponse(ConfigurationPull pull) {
        long afterOffset = pull.after();
        if (!fold.isConsistent()) {
            return List.of();
        }
        Optional<List<RawRecord>> records = recentRecords.recordsAfter(afterOffset);
        if (records.isEmpty() || pull.whole()) {
            return wholeSections(afterOffset);
        }
        List<RawRecord> part = new ArrayList<>();
        long bytes = 0;
        for (RawRecord raw : records.get()) {
            if (bytes > TARGET_PART_BYTES) {
                break;
            }
            part.add(raw);
            bytes += raw.data().length;
        }
        long through =
                part.isEmpty() ? fold.offset() : part.get(part.size() - 1).offset();
        return List.of(new ConfigurationRecords(afterOffset, through, part, List.of(), List.of(), false, true));
    }

    private List<ConfigurationRecords> wholeSections(long afterOffset) {
        List<ConfigurationRecords> parts = new ArrayList<>();
        List<SectionState> part = new ArrayList<>();
        long bytes = 0;
        for (SectionState section : fold.sectionStates()) {
            part.add(section);
            for (String text : section.entries().values()) {
                bytes += text.length();
            }
            if (bytes > TARGET_PART_BYTES) {
                parts.add(
                        new ConfigurationRecords(afterOffset, fold.offset(), List.of(), part, List.of(), true, false));
                part = new ArrayList<>();
                bytes = 0;
            }
        }
        parts.add(new ConfigurationRecords(
                afterOffset, fold.offset(), List.of(), part, fold.pendingChanges(), true, true));
        return parts;
    }
}
