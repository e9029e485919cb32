package org.redwinghook.core.length;

import java.util.LinkedHashMap;
import java.util.Map;

/** Output lengths of one service as learned from complete outputs, for each customer with a fall-back to the service. */
public final class LearnedLengths implements OutputLengths {

    /** Customers whose histograms are kept; the one that was used least recently is dropped first. */
    private static final int MAXIMUM_CUSTOMERS = 1_000;

    /** Below this number of outputs a customer's own histogram says less than the service's. */
    private static final double MINIMUM_OUTPUTS = 8;

    private final int quickTokens;
    private final LengthHistogram serviceHistogram = new LengthHistogram();
    private final Map<String, LengthHistogram> customers = new LinkedHashMap<>(16, 0.75f, true) {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, LengthHistogram> eldest) {
            return size() > MAXIMUM_CUSTOMERS;
        }
    };

    /**
     * Creates a model without outputs. Until the first one it expects that generations run to their maximum.
     *
     * @param quickTokens expected output up to which a generation is quick
     */
    public LearnedLengths(int quickTokens) {
        this.quickTokens = quickTokens;
    }

    @Override
    public double survival(OutputQuery output, int generated, int steps) {
        if (generated + steps >= output.maximumOutputTokens()) {
            return 0;
        }
        LengthHistogram histogram = histogram(output, generated);
        double now = histogram.shareAbove(generated);
        if (now > 0) {
            return histogram.shareAbove(generated + steps) / now;
        }
        return serviceHistogram.effectiveCount() == 0 ? 1 : tailSurvival(generated, steps);
    }

    @Override
    public double expectedRemaining(OutputQuery output, int generated) {
        int remainingTokens = Math.max(0, output.maximumOutputTokens() - generated);
        LengthHistogram histogram = histogram(output, generated);
        if (histogram.shareAbove(generated) > 0) {
            return Math.min(remainingTokens, histogram.meanAbove(generated, output.maximumOutputTokens()));
        }
        return serviceHistogram.effectiveCount() == 0 ? remainingTokens : Math.min(remainingTokens, generated);
    }

    /** An output whose maximum alone makes it quick says nothing about the customer's other outputs. */
    @Override
    public void record(OutputQuery output, int generated) {
        if (output.maximumOutputTokens() <= quickTokens) {
            return;
        }
        serviceHistogram.record(generated);
        customers
                .computeIfAbsent(output.customer(), ignored -> new LengthHistogram())
                .record(generated);
    }

    /**
     * Customers that have a histogram.
     *
     * @return their number
     */
    public int customers() {
        return customers.size();
    }

    private LengthHistogram histogram(OutputQuery output, int generated) {
        LengthHistogram own = customers.get(output.customer());
        if (own == null || own.effectiveCount() < MINIMUM_OUTPUTS || own.shareAbove(generated) <= 0) {
            return serviceHistogram;
        }
        return own;
    }

    /** Beyond all known outputs the tail is taken as Pareto with exponent one: the output so far is a typical half. */
    private static double tailSurvival(int generated, int steps) {
        return (double) (generated + 1) / (generated + 1 + steps);
    }
}
