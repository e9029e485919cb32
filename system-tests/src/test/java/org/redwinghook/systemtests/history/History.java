package org.redwinghook.systemtests.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Events of one test run. Thread-safe. */
public final class History {

    private final List<Event> events = new ArrayList<>();

    /**
     * Adds an event.
     *
     * @param event the event
     */
    public synchronized void add(Event event) {
        events.add(event);
    }

    /**
     * Returns the events of one type, sorted by time; events with equal times keep the order of insertion.
     *
     * @param type type of the events
     * @param <E> type of the events
     * @return the events
     */
    public synchronized <E extends Event> List<E> eventsOf(Class<E> type) {
        List<E> result = new ArrayList<>();
        for (Event event : events) {
            if (type.isInstance(event)) {
                result.add(type.cast(event));
            }
        }
        result.sort(Comparator.comparingLong(Event::atMillis));
        return result;
    }
}
