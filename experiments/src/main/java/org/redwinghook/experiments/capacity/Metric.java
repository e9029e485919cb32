package org.redwinghook.experiments.capacity;

import java.util.function.ToDoubleFunction;

/** Metrics of a cost, with the budget of one process where design.md section 1 sets one. */
public enum Metric {
    /** Processor time; the budget is 1.4% of a core. */
    PROCESSOR("CPU, ms/s", Cost::processorMillis, 14),
    /** Used heap after a garbage collection; the budget is 32 MB. */
    HEAP("heap, MB", Cost::heapMegabytes, 32),
    /** Resident memory. It has no budget, since it also depends on when the garbage collector last ran. */
    RESIDENT("resident, MB", Cost::residentMegabytes, Double.POSITIVE_INFINITY),
    /** Bytes on all connections; the budget is 3 KB per second. */
    BYTES("all bytes/s", Cost::bytes, 3_000),
    /** Bytes of frames between routers and sidecars, which are included in {@link #BYTES}. */
    WIRE_BYTES("frame bytes/s", Cost::wireBytes, Double.POSITIVE_INFINITY),
    /** Frames between routers and sidecars. */
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
     * Name and unit, as a column heading.
     *
     * @return the label
     */
    public String label() {
        return label;
    }

    /**
     * Value of this metric in a cost.
     *
     * @param cost the cost
     * @return the value
     */
    public double valueIn(Cost cost) {
        return extractor.applyAsDouble(cost);
    }

    /**
     * Budget of one process.
     *
     * @return maximum value, infinite if there is no budget
     */
    public double budget() {
        return budget;
    }

    /**
     * Compares a value with the budget.
     *
     * @param used the value
     * @return result in Markdown
     */
    public String verdict(double used) {
        if (Double.isInfinite(budget)) {
            return "no budget";
        }
        return used > budget ? "**over**" : "within";
    }
}
