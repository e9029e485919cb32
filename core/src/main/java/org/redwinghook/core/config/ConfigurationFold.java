package org.redwinghook.core.config;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.document.Finding;

/**
 * Folds the records of the log stream {@code configuration} into the state of all sections. The result depends only on
 * the records in offset order, so all processes compute the same state. A section's version never decreases. Not
 * thread-safe.
 *
 * <p>A reader that missed records, because they were no longer retained when it started or continued, keeps changes to
 * the affected sections pending until it reaches the end of the log. Only then is the newest snapshot of a section
 * known: an earlier snapshot may predate a change that is no longer retained, and a change that replaces version 0 may
 * have been rejected.
 */
public final class ConfigurationFold {

    private final Map<String, FoldedSection> sections = new TreeMap<>();
    private final Map<String, List<PendingChange>> pendingChanges = new TreeMap<>();
    private long offset;
    private boolean isConsistent = true;

    /**
     * Sets the first offset that the log still retains. Records between the current offset and this one count as
     * missed. Must be called before records of a page are folded.
     *
     * @param firstRetainedOffset first retained offset
     */
    public void startAt(long firstRetainedOffset) {
        if (firstRetainedOffset > offset + 1) {
            offset = firstRetainedOffset - 1;
            isConsistent = false;
            sections.replaceAll((name, folded) -> folded.withConfirmed(false));
        }
    }

    /**
     * Marks that the reader has reached the end of the log. Every section has a snapshot among the retained records, so
     * no snapshot that decides a pending change is missing any more.
     */
    public void markLogEndReached() {
        if (isConsistent) {
            return;
        }
        isConsistent = true;
        sections.replaceAll((name, folded) -> folded.withConfirmed(true));
        List.copyOf(pendingChanges.keySet()).forEach(this::replayPending);
    }

    /**
     * Folds a record.
     *
     * @param recordOffset offset of the record
     * @param timestampMillis time of the append by the log service's clock, in milliseconds since 1970
     * @param configurationRecord the record
     * @return how the record was applied
     */
    public FoldOutcome fold(long recordOffset, long timestampMillis, ConfigurationRecord configurationRecord) {
        if (recordOffset <= offset) {
            return outcome(FoldResult.IGNORED, configurationRecord.section());
        }
        offset = recordOffset;
        if (configurationRecord instanceof SectionChange change) {
            return applyChange(new PendingChange(recordOffset, timestampMillis, change));
        }
        return applySnapshot(recordOffset, timestampMillis, (SectionSnapshot) configurationRecord);
    }

    /**
     * Advances past a record that is not a configuration record. All readers skip it.
     *
     * @param recordOffset offset of the record
     */
    public void skip(long recordOffset) {
        offset = Math.max(offset, recordOffset);
    }

    /**
     * Applies the state that a peer has folded. Sections that are newer here are kept.
     *
     * @param through offset through which the peer has folded
     * @param states sections of the peer
     * @param changes pending changes of the peer
     */
    public void applyPeerState(long through, Collection<SectionState> states, Collection<PendingChange> changes) {
        for (SectionState state : states) {
            applySnapshot(
                    Math.max(through, state.version()),
                    state.copiedAtMillis(),
                    new SectionSnapshot(state.section(), state.team(), state.version(), state.entries()));
        }
        if (through <= offset) {
            return;
        }
        offset = through;
        changes.forEach(this::addPending);
        markLogEndReached();
    }

    /**
     * Offset through which records have been folded.
     *
     * @return the offset, 0 before the first record
     */
    public long offset() {
        return offset;
    }

    /**
     * Whether all changes up to the offset are decided as in a process that has read the whole log.
     *
     * @return false from when records were missed until the end of the log is reached
     */
    public boolean isConsistent() {
        return isConsistent;
    }

    /**
     * Version and team of a section.
     *
     * @param section name of the section
     * @return its version, {@link SectionVersion#ABSENT} if the section is not known
     */
    public SectionVersion version(String section) {
        FoldedSection folded = sections.get(section);
        return folded == null ? SectionVersion.ABSENT : folded.version();
    }

    /**
     * Finds a section.
     *
     * @param section name of the section
     * @return the section, null if it is not known
     */
    public @Nullable Section section(String section) {
        FoldedSection folded = sections.get(section);
        return folded == null ? null : folded.section();
    }

    /**
     * States of all sections, in the form in which processes exchange them.
     *
     * @return the states in order of section name
     */
    public List<SectionState> sectionStates() {
        List<SectionState> states = new ArrayList<>();
        sections.values().forEach(folded -> states.add(folded.state()));
        return states;
    }

    /**
     * Changes that cannot be decided yet.
     *
     * @return the changes in order of section and offset
     */
    public List<PendingChange> pendingChanges() {
        return pendingChanges.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Sections whose newest snapshot on the log is older than a given time.
     *
     * @param timeMillis the given time in milliseconds since 1970
     * @return names of the sections
     */
    public List<String> sectionsWithSnapshotBefore(long timeMillis) {
        List<String> names = new ArrayList<>();
        sections.forEach((name, folded) -> {
            if (folded.copiedAtMillis() < timeMillis) {
                names.add(name);
            }
        });
        return names;
    }

    /**
     * Creates the snapshot record of a section.
     *
     * @param section name of a known section
     * @return the snapshot
     */
    public SectionSnapshot snapshotOf(String section) {
        FoldedSection folded = sections.get(section);
        if (folded == null) {
            throw new IllegalArgumentException("section " + section + " is not known");
        }
        SectionVersion version = folded.version();
        return new SectionSnapshot(
                section, version.team(), version.version(), folded.section().texts());
    }

    /**
     * Typed configuration of all sections. Entries that did not change since the last call are not parsed again.
     *
     * @return the configuration
     */
    public Configuration configuration() {
        ConfigurationAssembler assembler = new ConfigurationAssembler(offset);
        sections.values().forEach(folded -> assembler.add(folded.section(), folded.version()));
        return assembler.toConfiguration();
    }

    private FoldOutcome applyChange(PendingChange pendingChange) {
        SectionChange change = pendingChange.change();
        SectionVersion current = version(change.section());
        if (pendingChange.offset() <= current.version()) {
            return outcome(FoldResult.IGNORED, change.section());
        }
        if (isUndecidable(change, current)) {
            addPending(pendingChange);
            return outcome(FoldResult.PENDING, change.section());
        }
        if (change.replaces() != current.version()) {
            return outcome(FoldResult.CONFLICT, change.section());
        }
        if (current.version() > 0 && !change.team().equals(current.team())) {
            return outcome(FoldResult.WRONG_TEAM, change.section());
        }
        return acceptChange(pendingChange, sections.get(change.section()));
    }

    private boolean isUndecidable(SectionChange change, SectionVersion current) {
        if (change.replaces() > current.version()) {
            return true;
        }
        FoldedSection known = sections.get(change.section());
        return known == null ? !isConsistent : !known.isConfirmed();
    }

    private FoldOutcome acceptChange(PendingChange accepted, @Nullable FoldedSection previous) {
        SectionChange change = accepted.change();
        Either<List<Finding>, Section> result = previous == null
                ? Section.read(change.section(), change.put())
                : previous.section().withChange(change.put(), change.remove());
        if (result.isLeft()) {
            return new FoldOutcome(FoldResult.INVALID, version(change.section()), result.getLeft());
        }
        SectionVersion version = new SectionVersion(accepted.offset(), change.team());
        long copiedAt = previous == null ? accepted.timestampMillis() : previous.copiedAtMillis();
        sections.put(change.section(), new FoldedSection(result.get(), version, copiedAt, true));
        replayPending(change.section());
        return outcome(FoldResult.ACCEPTED, change.section());
    }

    private FoldOutcome applySnapshot(long recordOffset, long timestampMillis, SectionSnapshot snapshot) {
        FoldedSection known = sections.get(snapshot.section());
        long knownVersion = known == null ? 0 : known.version().version();
        if (snapshot.version() > recordOffset || snapshot.version() <= 0 || snapshot.version() < knownVersion) {
            return outcome(FoldResult.IGNORED, snapshot.section());
        }
        if (known != null && snapshot.version() == knownVersion) {
            // Only a snapshot of the current version counts: after an older one, a reader would still need the later
            // changes.
            long copiedAt = Math.max(known.copiedAtMillis(), timestampMillis);
            sections.put(
                    snapshot.section(),
                    new FoldedSection(known.section(), known.version(), copiedAt, known.isConfirmed()));
            return outcome(FoldResult.IGNORED, snapshot.section());
        }
        Either<List<Finding>, Section> result = Section.read(snapshot.section(), snapshot.entries());
        if (result.isLeft()) {
            return new FoldOutcome(FoldResult.INVALID, version(snapshot.section()), result.getLeft());
        }
        SectionVersion version = new SectionVersion(snapshot.version(), snapshot.team());
        sections.put(snapshot.section(), new FoldedSection(result.get(), version, timestampMillis, isConsistent));
        if (isConsistent) {
            replayPending(snapshot.section());
        }
        return outcome(FoldResult.CARRIED, snapshot.section());
    }

    private void addPending(PendingChange change) {
        List<PendingChange> changes =
                pendingChanges.computeIfAbsent(change.change().section(), name -> new ArrayList<>());
        if (changes.stream().noneMatch(other -> other.offset() == change.offset())) {
            changes.add(change);
        }
    }

    private void replayPending(String section) {
        List<PendingChange> changes = pendingChanges.remove(section);
        if (changes == null) {
            return;
        }
        changes.sort(java.util.Comparator.comparingLong(PendingChange::offset));
        changes.forEach(this::applyChange);
    }

    private FoldOutcome outcome(FoldResult result, String section) {
        return new FoldOutcome(result, version(section), List.of());
    }

    // A section is unconfirmed while records that may have changed it are missing.
    private record FoldedSection(Section section, SectionVersion version, long copiedAtMillis, boolean isConfirmed) {

        FoldedSection withConfirmed(boolean value) {
            return new FoldedSection(section, version, copiedAtMillis, value);
        }

        SectionState state() {
            return new SectionState(section.name(), version.team(), version.version(), copiedAtMillis, section.texts());
        }
    }
}
