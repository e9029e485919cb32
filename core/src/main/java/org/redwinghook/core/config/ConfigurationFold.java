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
 * Folds the records of the stream {@code configuration}. The result depends only on the records in the order of their
 * offsets, so all processes come to the same one. A section's version never decreases. Not safe for use by several
 * threads.
 *
 * <p>A reader that starts after the first retained record, or missed records, holds all changes of such sections as
 * pending until it has reached the log's end. Only then is the newest copy of a section known: an earlier copy may have
 * been made before a change that is no longer retained, and a change that replaces version 0 may have been rejected.
 */
public final class ConfigurationFold {

    private final Map<String, FoldedSection> sections = new TreeMap<>();
    private final Map<String, List<PendingChange>> pendingChanges = new TreeMap<>();
    private long offset;
    private boolean isConsistent = true;

    /**
     * Tells the fold which records the log still keeps. To be called before records are folded.
     *
     * @param first first retained offset
     */
    public void startAt(long first) {
        if (first > offset + 1) {
            offset = first - 1;
            isConsistent = false;
            sections.replaceAll((name, folded) -> folded.withConfirmed(false));
        }
    }

    /**
     * Tells the fold that its reader has reached the log's end. Each section has a full copy among the retained
     * records, so no copy that decides a pending change is missing any more.
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
     * @param at offset of the record
     * @param timestampMillis time of the append by the log service's clock, in milliseconds since 1970
     * @param folded the record
     * @return what became of it
     */
    public FoldOutcome fold(long at, long timestampMillis, ConfigurationRecord folded) {
        if (at <= offset) {
            return outcome(FoldResult.IGNORED, folded.section());
        }
        offset = at;
        if (folded instanceof SectionChange change) {
            return applyChange(new PendingChange(at, timestampMillis, change));
        }
        return applySnapshot(at, timestampMillis, (SectionSnapshot) folded);
    }

    /**
     * Notes a record that is not a configuration record. All readers skip it.
     *
     * @param at offset of the record
     */
    public void skip(long at) {
        offset = Math.max(offset, at);
    }

    /**
     * Takes over what another process has folded. Sections that are newer here stay.
     *
     * @param through offset through which the other process has folded
     * @param states its sections
     * @param changes its pending changes
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
     * @return the offset, 0 before the first
     */
    public long offset() {
        return offset;
    }

    /**
     * Whether all changes up to the offset are decided as in a process that read the whole log.
     *
     * @return false for a reader that missed records and has not reached the log's end
     */
    public boolean isConsistent() {
        return isConsistent;
    }

    /**
     * Version and team of a section.
     *
     * @param section name of the section
     * @return its version, {@link SectionVersion#ABSENT} if it has no base
     */
    public SectionVersion version(String section) {
        FoldedSection folded = sections.get(section);
        return folded == null ? SectionVersion.ABSENT : folded.version();
    }

    /**
     * A section.
     *
     * @param section name of the section
     * @return the section, null if it has no base
     */
    public @Nullable Section section(String section) {
        FoldedSection folded = sections.get(section);
        return folded == null ? null : folded.section();
    }

    /**
     * All sections, in the form in which processes pass them on.
     *
     * @return the sections in order of their names
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
     * Sections whose newest full copy on the log is too old.
     *
     * @param copiedBeforeMillis copies made before this time are too old, in milliseconds since 1970
     * @return names of the sections
     */
    public List<String> sectionsWithSnapshotBefore(long copiedBeforeMillis) {
        List<String> due = new ArrayList<>();
        sections.forEach((name, folded) -> {
            if (folded.copiedAtMillis() < copiedBeforeMillis) {
                due.add(name);
            }
        });
        return due;
    }

    /**
     * The record that copies a section.
     *
     * @param section name of a section that has a base
     * @return the copy
     */
    public SectionSnapshot snapshotOf(String section) {
        FoldedSection folded = sections.get(section);
        if (folded == null) {
            throw new IllegalArgumentException("section " + section + " has no base");
        }
        SectionVersion version = folded.version();
        return new SectionSnapshot(
                section, version.team(), version.version(), folded.section().texts());
    }

    /**
     * The typed configuration of all sections. Only sections that changed have been read since the last call.
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
        if (isUndecided(change, current)) {
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

    private boolean isUndecided(SectionChange change, SectionVersion current) {
        if (change.replaces() > current.version()) {
            return true;
        }
        FoldedSection known = sections.get(change.section());
        return known == null ? !isConsistent : !known.isConfirmed();
    }

    private FoldOutcome acceptChange(PendingChange accepted, @Nullable FoldedSection before) {
        SectionChange change = accepted.change();
        Either<List<Finding>, Section> result = before == null
                ? Section.read(change.section(), change.put())
                : before.section().withChange(change.put(), change.remove());
        if (result.isLeft()) {
            return new FoldOutcome(FoldResult.INVALID, version(change.section()), result.getLeft());
        }
        SectionVersion version = new SectionVersion(accepted.offset(), change.team());
        long copiedAt = before == null ? accepted.timestampMillis() : before.copiedAtMillis();
        sections.put(change.section(), new FoldedSection(result.get(), version, copiedAt, true));
        replayPending(change.section());
        return outcome(FoldResult.ACCEPTED, change.section());
    }

    private FoldOutcome applySnapshot(long at, long timestampMillis, SectionSnapshot copy) {
        FoldedSection known = sections.get(copy.section());
        long knownVersion = known == null ? 0 : known.version().version();
        if (copy.version() > at || copy.version() <= 0 || copy.version() < knownVersion) {
            return outcome(FoldResult.IGNORED, copy.section());
        }
        if (known != null && copy.version() == knownVersion) {
            // Only a copy of the current version counts: after an older one, a reader would still need later changes.
            long copiedAt = Math.max(known.copiedAtMillis(), timestampMillis);
            sections.put(
                    copy.section(), new FoldedSection(known.section(), known.version(), copiedAt, known.isConfirmed()));
            return outcome(FoldResult.IGNORED, copy.section());
        }
        Either<List<Finding>, Section> result = Section.read(copy.section(), copy.entries());
        if (result.isLeft()) {
            return new FoldOutcome(FoldResult.INVALID, version(copy.section()), result.getLeft());
        }
        SectionVersion version = new SectionVersion(copy.version(), copy.team());
        sections.put(copy.section(), new FoldedSection(result.get(), version, timestampMillis, isConsistent));
        if (isConsistent) {
            replayPending(copy.section());
        }
        return outcome(FoldResult.CARRIED, copy.section());
    }

    private void addPending(PendingChange change) {
        List<PendingChange> held =
                pendingChanges.computeIfAbsent(change.change().section(), name -> new ArrayList<>());
        if (held.stream().noneMatch(other -> other.offset() == change.offset())) {
            held.add(change);
        }
    }

    private void replayPending(String section) {
        List<PendingChange> held = pendingChanges.remove(section);
        if (held == null) {
            return;
        }
        held.sort(java.util.Comparator.comparingLong(PendingChange::offset));
        held.forEach(this::applyChange);
    }

    private FoldOutcome outcome(FoldResult result, String section) {
        return new FoldOutcome(result, version(section), List.of());
    }

    // A section is confirmed unless records that may have changed it were no longer retained when they were to be read.
    private record FoldedSection(Section section, SectionVersion version, long copiedAtMillis, boolean isConfirmed) {

        FoldedSection withConfirmed(boolean value) {
            return new FoldedSection(section, version, copiedAtMillis, value);
        }

        SectionState state() {
            return new SectionState(section.name(), version.team(), version.version(), copiedAtMillis, section.texts());
        }
    }
}
