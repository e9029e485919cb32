package org.redwinghook.systemtests.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/** Events of one run. Several threads may add events. */
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
     * Events of one type in order of time; events of the same time keep the order in which they were added.
     *
     * @param type the type
     * @param <E> the type
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
