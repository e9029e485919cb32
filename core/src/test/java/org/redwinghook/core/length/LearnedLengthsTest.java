package org.redwinghook.core.length;

import org.testng.Assert;
import org.testng.annotations.Test;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.integers;
import static org.quicktheories.generators.SourceDSL.lists;

/** Guards against estimates that are impossible, that never adapt, or that need unbounded memory. */
public class LearnedLengthsTest {

    private static final int MAXIMUM = 32_768;

    @Test
    public void quantileIsWithinOneBucketOfTheTrueOne() {
        qt().withExamples(200)
                .withFixedSeed(11)
                .forAll(lists().of(integers().between(1, 100_000)).ofSizeBetween(1, 60))
                .checkAssert(outputs -> {
                    LengthHistogram histogram = new LengthHistogram();
                    outputs.forEach(histogram::recordLength);
                    int largest = outputs.stream().max(Integer::compare).orElseThrow();
                    int quantile = histogram.quantile(1);
                    Assert.assertTrue(quantile >= largest && quantile <= 1.25 * largest + 1, "quantile " + quantile);
                });
    }

    @Test
    public void survivalFallsWithStepsAndIsZeroAtTheMaximum() {
        LearnedLengths lengths = new LearnedLengths(64);
        for (int output = 1; output < 2_000; output += 7) {
            lengths.recordOutput(query("a"), output);
        }
        qt().withExamples(300)
                .withFixedSeed(5)
                .forAll(integers().between(0, 5_000), integers().between(0, 1_000))
                .checkAssert((generated, steps) -> {
                    double current = lengths.survival(query("a"), generated, steps);
                    double later = lengths.survival(query("a"), generated, steps + 64);
                    Assert.assertTrue(current >= later && current <= 1 && later >= 0, current + " then " + later);
                    double remaining = lengths.expectedRemaining(query("a"), generated);
                    Assert.assertTrue(remaining >= 0 && remaining <= MAXIMUM - generated);
                });
        Assert.assertEquals(lengths.survival(query("a"), MAXIMUM - 10, 10), 0.0);
    }

    @Test
    public void expectsTheMaximumBeforeTheFirstOutput() {
        LearnedLengths lengths = new LearnedLengths(64);
        Assert.assertEquals(lengths.expectedRemaining(query("a"), 100), MAXIMUM - 100.0);
        Assert.assertEquals(lengths.survival(query("a"), 100, 512), 1.0);
    }

    @Test
    public void expectedRemainingIsConditionalOnTheTokensSoFar() {
        LearnedLengths lengths = new LearnedLengths(64);
        for (int output = 0; output < 100; output++) {
            lengths.recordOutput(query("a"), output % 10 == 0 ? 10_000 : 20);
        }
        Assert.assertEquals(lengths.expectedRemaining(query("a"), 0), 1_018, 200);
        Assert.assertEquals(lengths.expectedRemaining(query("a"), 100), 9_900, 1_500);
    }

    @Test
    public void customerWithFewOutputsFallsBackToTheService() {
        LearnedLengths lengths = new LearnedLengths(64);
        for (int output = 0; output < 100; output++) {
            lengths.recordOutput(query("known"), 2_000);
        }
        lengths.recordOutput(query("new"), 65);
        Assert.assertEquals(lengths.expectedRemaining(query("new"), 0), 2_000, 400);
    }

    @Test
    public void oldOutputsLoseWeight() {
        LengthHistogram histogram = new LengthHistogram();
        for (int output = 0; output < 20_000; output++) {
            histogram.recordLength(10_000);
        }
        for (int output = 0; output < 2_000; output++) {
            histogram.recordLength(20);
        }
        Assert.assertTrue(histogram.shareAbove(100) < 0.03, "share " + histogram.shareAbove(100));
        Assert.assertTrue(histogram.effectiveCount() <= 510);
    }

    @Test
    public void keepsALimitedNumberOfCustomers() {
        LearnedLengths lengths = new LearnedLengths(64);
        for (int customer = 0; customer < 21_000; customer++) {
            lengths.recordOutput(query("customer-" + customer), 100);
        }
        Assert.assertEquals(lengths.customers(), 1_000);
    }

    private static OutputQuery query(String customer) {
        return new OutputQuery(1, customer, MAXIMUM);
    }
}
