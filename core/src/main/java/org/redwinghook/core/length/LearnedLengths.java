package org.redwinghook.core.length;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Output lengths of one service, learned from complete outputs for each customer, with a fallback to the whole service.
 */
public final class LearnedLengths implements OutputLengths {

    /** Maximum number of customers with a histogram; the least recently used one is evicted first. */
    private static final int MAXIMUM_CUSTOMERS = 1_000;

    /** Minimum number of outputs; below it, a customer's own histogram says less than the service's. */
    private static final double MINIMUM_OUTPUTS = 8;

    private final int quickTokens;
    private final LengthHistogram serviceHistogram = new LengthHistogram();
    private final Map<String, LengthHistogram> customerHistograms = new LinkedHashMap<>(16, 0.75f, true) {
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
        double currentShare = histogram.shareAbove(generated);
        if (currentShare > 0) {
            return histogram.shareAbove(generated + steps) / currentShare;
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

    /**
     * Records the length of a complete output. An output whose maximum alone makes it quick is ignored, since it says
     * nothing about the customer's other outputs.
     */
    @Override
    public void recordOutput(OutputQuery output, int generated) {
        if (output.maximumOutputTokens() <= quickTokens) {
            return;
        }
        serviceHistogram.recordLength(generated);
        customerHistograms
                .computeIfAbsent(output.customer(), ignored -> new LengthHistogram())
                .recordLength(generated);
    }

    /**
     * Number of customers that have a histogram.
     *
     * @return the number
     */
    public int customers() {
        return customerHistograms.size();
    }

    private LengthHistogram histogram(OutputQuery output, int generated) {
        LengthHistogram customerHistogram = customerHistograms.get(output.customer());
        if (customerHistogram == null
                || customerHistogram.effectiveCount() < MINIMUM_OUTPUTS
                || customerHistogram.shareAbove(generated) <= 0) {
            return serviceHistogram;
        }
        return customerHistogram;
    }

    /**
     * Survival beyond all recorded outputs. The tail is modelled as a Pareto distribution with exponent one: the median
     * output is twice the output so far.
     */
    private static double tailSurvival(int generated, int steps) {
        return (double) (generated + 1) / (generated + 1 + steps);
    }
}
