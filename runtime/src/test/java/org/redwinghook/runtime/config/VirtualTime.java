package org.redwinghook.runtime.config;

import java.util.Comparator;
import java.util.PriorityQueue;

/** Scheduler whose time passes only when a test advances it. */
final class VirtualTime implements Scheduler {

    private final PriorityQueue<Task> tasks =
            new PriorityQueue<>(Comparator.comparingLong(Task::atMillis).thenComparingLong(Task::sequence));
    private long nowMillis = 1_000_000_000;
    private long lastSequence;

    @Override
    public long nowMillis() {
        return nowMillis;
    }

    @Override
    public void schedule(long delayMillis, Runnable task) {
        lastSequence++;
        tasks.add(new Task(nowMillis + delayMillis, lastSequence, task));
    }

    void advance(long millis) {
        long end = nowMillis + millis;
        while (!tasks.isEmpty() && tasks.peek().atMillis() <= end) {
            Task next = tasks.remove();
            nowMillis = next.atMillis();
            next.task().run();
        }
        nowMillis = end;
    }

    private record Task(long atMillis, long sequence, Runnable task) {}
}
