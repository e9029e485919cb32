package org.redwinghook.standins.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value whose changes become visible after a delay. What was visible once is never replaced by something older.
 *
 * @param <T> type of the value
 */
public final class LaggedValue<T> {

    private final Deque<Change<T>> changes = new ArrayDeque<>();
    private T visible;

    /**
     * Creates the value.
     *
     * @param initial visible at once
     */
    public LaggedValue(T initial) {
        this.visible = initial;
    }

    /**
     * Changes the value.
     *
     * @param value the new value
     * @param nowMillis time of the change
     */
    public synchronized void set(T value, long nowMillis) {
        changes.addLast(new Change<>(nowMillis, value));
    }

    /**
     * Newest value, including one that is not visible yet.
     *
     * @return the value
     */
    public synchronized T latest() {
        return changes.isEmpty() ? visible : changes.getLast().value();
    }

    /**
     * The value as readers see it.
     *
     * @param nowMillis present time
     * @param lagMillis age that a change must have reached
     * @return the value
     */
    public synchronized T visible(long nowMillis, long lagMillis) {
        while (!changes.isEmpty() && changes.getFirst().timeMillis() <= nowMillis - lagMillis) {
            visible = changes.removeFirst().value();
        }
        return visible;
    }

    private record Change<T>(long timeMillis, T value) {}
}
