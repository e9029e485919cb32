package org.redwinghook.core.placement;

/** Weighted mean of numbers. */
final class WeightedMean {

    private double sum;
    private double weight;

    void add(double number, double numberWeight) {
        sum += number * numberWeight;
        weight += numberWeight;
    }

    double weight() {
        return weight;
    }

    /** The mean, drawn towards 0 by a further number 0 of the given weight; 0 without any weight. */
    double towardsZero(double weightOfZero) {
        double total = weight + weightOfZero;
        return total == 0 ? 0 : sum / total;
    }
}
