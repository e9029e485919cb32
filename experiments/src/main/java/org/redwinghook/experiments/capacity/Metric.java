package org.redwinghook.experiments.capacity;

import java.util.function.ToDoubleFunction;

/** Parts of a cost, with the budget for one process where design.md section 1 has one. */
public enum Metric {
    /** Processor time; the budget is 1.4% of a core. */
    PROCESSOR("CPU, ms/s", Cost::processorMillis, 14),
    /** Heap after a collection; the budget is 32 MB. */
    HEAP("heap, MB", Cost::heapMegabytes, 32),
    /** Resident memory, which also depends on when the collector last ran and so has no verdict of its own. */
    RESIDENT("resident, MB", Cost::residentMegabytes, Double.POSITIVE_INFINITY),
    /** Bytes on all connections; the budget is 3 KB a second. */
    BYTES("all bytes/s", Cost::bytes, 3_000),
    /** Bytes of frames between own processes, a part of all bytes. */
    WIRE_BYTES("frame bytes/s", Cost::wireBytes, Double.POSITIVE_INFINITY),
    /** Frames between own processes. */
    MESSAGES("messages/s", Cost::messages, Double.POSITIVE_INFINITY);

    private final String label;
    private final ToDoubleFunction<Cost> extractor;
    private final double budget;

    Metric(String label, ToDoubleFunction<Cost> extractor, double budget) {
        this.label = label;
        this.extractor = extractor;
        this.budget = budget;
    }

    /**
     * Name and unit for tables.
     *
     * @return the label
     */
    public String label() {
        return label;
    }

    /**
     * This part of a cost.
     *
     * @param cost the cost
     * @return the value
     */
    public double valueIn(Cost cost) {
        return extractor.applyAsDouble(cost);
    }

    /**
     * Most that one process may use.
     *
     * @return the budget, infinite if there is none
     */
    public double budget() {
        return budget;
    }

    /**
     * Compares a value with the budget.
     *
     * @param used the value
     * @return words for a table
     */
    public String verdict(double used) {
        if (Double.isInfinite(budget)) {
            return "no budget";
        }
        return used > budget ? "**over**" : "within";
    }
}
