package org.redwinghook.router.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Deliveries that have not ended, so that a shutdown with a time limit can abort them explicitly. */
public final class RunningDeliveries {

    private final Map<Object, Consumer<String>> running = new LinkedHashMap<>();

    /**
     * Adds a delivery.
     *
     * @param delivery the delivery
     * @param abort aborts the delivery with the given cause
     */
    public void add(Object delivery, Consumer<String> abort) {
        running.put(delivery, abort);
    }

    /**
     * Removes a delivery that has ended.
     *
     * @param delivery the delivery
     */
    public void remove(Object delivery) {
        running.remove(delivery);
    }

    /**
     * Returns the number of deliveries that have not ended.
     *
     * @return the number
     */
    public int size() {
        return running.size();
    }

    /**
     * Aborts all deliveries.
     *
     * @param detail description of the cause for the callers
     */
    public void abortAll(String detail) {
        Map.copyOf(running).values().forEach(abort -> abort.accept(detail));
    }
}
