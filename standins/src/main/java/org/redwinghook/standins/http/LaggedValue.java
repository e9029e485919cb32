package org.redwinghook.standins.http;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * A value whose changes become visible after a delay. A visible value is never replaced by an older one.
 *
 * @param <T> type of the value
 */
public final class LaggedValue<T> {

    private final Deque<Change<T>> changes = new ArrayDeque<>();
    private T visible;

    /**
     * Creates the value.
     *
     * @param initial the value that is visible at first
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
     * Returns the latest value, which may not be visible yet.
     *
     * @return the value
     */
    public synchronized T latest() {
        return changes.isEmpty() ? visible : changes.getLast().value();
    }

    /**
     * Returns the value that is visible to readers.
     *
     * @param nowMillis current time
     * @param lagMillis age from which a change is visible
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
