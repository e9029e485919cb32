package org.redwinghook.experiments.capacity;

import java.util.SortedMap;

import org.apache.commons.math3.stat.regression.SimpleRegression;

/**
 * Least-squares line through measured points.
 *
 * @param slope growth per unit of size
 * @param intercept value at size 0
 * @param determination coefficient of determination, R squared; 0 if all values are equal
 */
public record LinearFit(double slope, double intercept, double determination) {

    private static final int MINIMUM_POINTS = 3;

    /**
     * Fits a line.
     *
     * @param points values by size, at least three
     * @return the line
     */
    public static LinearFit of(SortedMap<Double, Double> points) {
        if (points.size() < MINIMUM_POINTS) {
            throw new IllegalArgumentException(
                    "linear fit needs at least " + MINIMUM_POINTS + " points but has " + points.size());
        }
        SimpleRegression regression = new SimpleRegression();
        points.forEach(regression::addData);
        double determination = regression.getRSquare();
        return new LinearFit(
                regression.getSlope(), regression.getIntercept(), Double.isNaN(determination) ? 0 : determination);
    }

    /**
     * Growth from size 0 to a size, without the intercept.
     *
     * @param size the size
     * @return slope times size
     */
    public double growth(double size) {
        return slope * size;
    }
}
