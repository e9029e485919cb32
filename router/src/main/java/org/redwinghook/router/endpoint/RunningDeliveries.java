package org.redwinghook.router.endpoint;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Deliveries that have not ended, so that a stop with a time limit can end them explicitly. */
public final class RunningDeliveries {

    private final Map<Object, Consumer<String>> running = new LinkedHashMap<>();

    /**
     * Adds a delivery.
     *
     * @param delivery the delivery
     * @param abort ends it with the given detail
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
     * Number of deliveries that have not ended.
     *
     * @return the number
     */
    public int size() {
        return running.size();
    }

    /**
     * Ends all deliveries.
     *
     * @param detail cause that callers are told
     */
    public void abortAll(String detail) {
        Map.copyOf(running).values().forEach(abort -> abort.accept(detail));
    }
}
