package org.redwinghook.core.replica;

/**
 * Place of a record among the statements of its writer, for writers that number them. Unlike offsets, these numbers keep
 * their meaning when the store comes back from a copy.
 *
 * @param start start of the writer to which the count belongs; a later start has a higher value
 * @param sequence count of the statements since that start
 */
public record StatementNumber(long start, long sequence) {

    /**
     * Whether this statement is later than another one.
     *
     * @param other the other statement
     * @return true if it belongs to a later start, or has a higher count of the same start
     */
    public boolean isAfter(StatementNumber other) {
        return start == other.start ? sequence > other.sequence : start > other.start;
    }

    /**
     * Whether this statement is older than another one of the same start.
     *
     * @param other the other statement
     * @return false if they belong to different starts, since the clock of a writer may have been set back between them
     */
    public boolean precedesWithinStart(StatementNumber other) {
        return start == other.start && sequence < other.sequence;
    }
}
