package org.redwinghook.experiments.capacity;

import java.util.Map;
import java.util.TreeMap;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against fits that count the intercept as growth, and against fits of too few points. */
public class LinearFitTest {

    private static final double TOLERANCE = 1e-9;

    /** Guards against an extrapolation that counts the usage at size 0 as growth. */
    @Test
    public void excludesInterceptFromGrowth() {
        LinearFit fit = LinearFit.of(new TreeMap<>(Map.of(20.0, 15.0, 60.0, 35.0, 150.0, 80.0)));
        Assert.assertEquals(fit.slope(), 0.5, TOLERANCE);
        Assert.assertEquals(fit.intercept(), 5, TOLERANCE);
        Assert.assertEquals(fit.determination(), 1, TOLERANCE);
        Assert.assertEquals(fit.growth(600), 300, TOLERANCE);
    }

    /** Guards against a coefficient of determination that hides scattered points. */
    @Test
    public void reportsScatter() {
        LinearFit fit = LinearFit.of(new TreeMap<>(Map.of(1.0, 1.0, 2.0, 4.0, 3.0, 1.0)));
        Assert.assertEquals(fit.slope(), 0, TOLERANCE);
        Assert.assertEquals(fit.determination(), 0, TOLERANCE);
    }

    /** Guards against "NaN" in the page when the size has no effect. */
    @Test
    public void equalValuesHaveZeroDetermination() {
        LinearFit fit = LinearFit.of(new TreeMap<>(Map.of(1.0, 7.0, 2.0, 7.0, 3.0, 7.0)));
        Assert.assertEquals(fit.slope(), 0, TOLERANCE);
        Assert.assertEquals(fit.determination(), 0, TOLERANCE);
    }

    /** Guards against a line through two points, which always fits exactly. */
    @Test(expectedExceptions = IllegalArgumentException.class)
    public void refusesTwoPoints() {
        LinearFit.of(new TreeMap<>(Map.of(1.0, 1.0, 2.0, 2.0)));
    }
}
