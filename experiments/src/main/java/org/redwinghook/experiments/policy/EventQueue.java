package org.redwinghook.experiments.policy;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Event queue in virtual time. Events with the same time run in the order in which they were scheduled. */
final class EventQueue {

    private static final long MICROS_PER_MILLI = 1_000;

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMicros).thenComparingLong(Event::sequence));
    private long nowMicros;
    private long lastSequence;

    long nowMicros() {
        return nowMicros;
    }

    long nowMillis() {
        return nowMicros / MICROS_PER_MILLI;
    }

    void schedule(long atMicros, Runnable action) {
        lastSequence++;
        events.add(new Event(Math.max(atMicros, nowMicros), lastSequence, action));
    }

    void scheduleAfter(long delayMicros, Runnable action) {
        schedule(nowMicros + delayMicros, action);
    }

    /** Runs all events up to and including a time. */
    void runUntil(long endMicros) {
        for (Event next = events.peek(); next != null && next.atMicros() <= endMicros; next = events.peek()) {
            events.remove();
            nowMicros = next.atMicros();
            next.action().run();
        }
    }

    private record Event(long atMicros, long sequence, Runnable action) {}
}
