package org.redwinghook.core.replica;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Predicate;

import org.jspecify.annotations.Nullable;

/** Beliefs of earlier eras that the log of the present era has neither confirmed nor overridden, one for each key. */
final class RecordFloor {

    private final StatementNumbers numbers;
    private final Map<String, EarlierRecord> records = new HashMap<>();

    /**
     * Creates an empty floor.
     *
     * @param numbers reads the numbers of the records
     */
    RecordFloor(StatementNumbers numbers) {
        this.numbers = numbers;
    }

    /**
     * Adds a belief unless there is one of a still earlier era: the log of the era that ends did not override that one.
     *
     * @param earlier the belief
     */
    void add(EarlierRecord earlier) {
        records.putIfAbsent(earlier.record().key(), earlier);
    }

    boolean contains(String key) {
        return records.containsKey(key);
    }

    void remove(String key) {
        records.remove(key);
    }

    List<EarlierRecord> all() {
        return List.copyOf(records.values());
    }

    /**
     * Compares a record of the log with the belief of its key, and removes the belief if the record overrides or is it.
     *
     * @param record newest record of its key in the log
     * @param origin origin of the record
     * @return whether the record overrides the belief
     */
    boolean yieldsTo(VersionedRecord record, RecordOrigin origin) {
        EarlierRecord earlier = records.get(record.key());
        if (earlier == null) {
            return false;
        }
        boolean isAtSameOffset = record.offset() == earlier.record().offset();
        boolean isConfirmed =
                isAtSameOffset && Arrays.equals(record.value(), earlier.record().value());
        // A copy would have the belief itself at this offset.
        RecordOrigin knownOrigin = isAtSameOffset ? RecordOrigin.WRITTEN : origin;
        boolean isOverridden = !isConfirmed && isLater(record, earlier.record(), knownOrigin);
        if (isOverridden || isConfirmed) {
            records.remove(record.key());
        }
        return isOverridden;
    }

    /**
     * Takes over a belief of another router.
     *
     * @param candidate the belief
     * @param logged newest record of the key in the log, null if there is none
     * @param origin origin of that record; without one {@link RecordOrigin#WRITTEN} if the key is known to be removed
     * @return whether it is believed from now on
     */
    boolean merge(EarlierRecord candidate, @Nullable VersionedRecord logged, RecordOrigin origin) {
        VersionedRecord record = candidate.record();
        EarlierRecord known = records.get(record.key());
        boolean isTaken;
        if (known != null) {
            RecordOrigin order = candidate.era() == known.era()
                    ? RecordOrigin.POSSIBLY_COPIED
                    : candidate.era() > known.era() ? RecordOrigin.WRITTEN : RecordOrigin.COPIED;
            isTaken = isLater(record, known.record(), order);
        } else if (logged == null) {
            isTaken = record.value() != null && origin != RecordOrigin.WRITTEN;
        } else {
            isTaken = origin != RecordOrigin.WRITTEN && isLater(record, logged, RecordOrigin.POSSIBLY_COPIED);
        }
        if (isTaken) {
            records.put(record.key(), candidate);
        }
        return isTaken;
    }

    /**
     * Forgets the removals of keys that the log does not have either. Another router could still know an older record while
     * the era lasts, so they are kept until its end.
     *
     * @param isLogged whether the complete log has a key
     */
    void forgetRemovals(Predicate<String> isLogged) {
        records.values()
                .removeIf(earlier -> earlier.record().value() == null
                        && !isLogged.test(earlier.record().key()));
    }

    /**
     * Records that the key of a belief is no longer there.
     *
     * @param key the key
     * @return the removal
     */
    VersionedRecord drop(String key) {
        EarlierRecord earlier = Objects.requireNonNull(records.get(key));
        VersionedRecord removal = new VersionedRecord(key, earlier.record().offset(), null);
        records.put(key, new EarlierRecord(earlier.era(), removal));
        return removal;
    }

    /** Whether a record is later than a belief of an earlier era: by the writer's number, otherwise by its origin. */
    private boolean isLater(VersionedRecord record, VersionedRecord earlier, RecordOrigin origin) {
        StatementNumber number = numbers.of(record);
        StatementNumber earlierNumber = numbers.of(earlier);
        if (number != null && earlierNumber != null) {
            if (number.isAfter(earlierNumber)) {
                return true;
            }
            if (number.precedesWithinStart(earlierNumber)) {
                return false;
            }
        }
        return switch (origin) {
            case WRITTEN -> true;
            case POSSIBLY_COPIED -> record.offset() > earlier.offset();
            case COPIED -> false;
        };
    }
}
