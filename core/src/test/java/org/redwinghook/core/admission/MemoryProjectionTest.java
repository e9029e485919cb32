package org.redwinghook.core.admission;

import java.util.Random;

import org.redwinghook.core.length.LearnedLengths;
import org.redwinghook.core.length.OutputLengths;
import org.redwinghook.core.length.OutputQuery;
import org.testng.Assert;
import org.testng.annotations.Test;

import static org.quicktheories.QuickTheory.qt;
import static org.quicktheories.generators.SourceDSL.longs;

/** Guards against admissions that exhaust the engine's memory during decoding, and against idle engines. */
public class MemoryProjectionTest {

    private static final int MEMORY = 20_000;
    private static final int HORIZON = 512;

    @Test
    public void outputsWithinTheHorizonNeverExceedTheBound() {
        qt().withExamples(20)
                .withFixedSeed(7)
                .forAll(longs().between(1, 1_000_000))
                .checkAssert(seed -> {
                    Random random = new Random(seed);
                    EndpointDriver driver = warm(new MaximumLengths());
                    for (int step = 0; step < 400; step++) {
                        int output = 65 + random.nextInt(HORIZON - 65);
                        driver.offer("owner", "customer", random.nextInt(1_000), output, output);
                        driver.step(20);
                        Assert.assertTrue(driver.memoryTokens() <= 0.92 * MEMORY, "memory " + driver.memoryTokens());
                    }
                });
    }

    @Test
    public void learnedLengthsAdmitMoreThanTheMaximumOutputWould() {
        EndpointDriver driver = warm(new LearnedLengths(64));
        for (int step = 0; step < 4_000; step++) {
            driver.offer("owner", "customer", 200, 8_000, 200);
            driver.step(20);
        }
        Assert.assertTrue(driver.running() > MEMORY / 8_200, "running " + driver.running());
        Assert.assertTrue(driver.memoryTokens() <= MEMORY);
    }

    @Test
    public void promptLargerThanTheBoundRunsAlone() {
        EndpointDriver driver = warm(new LearnedLengths(64));
        while (driver.running() > 0) {
            driver.step(20);
        }
        Assert.assertEquals(
                driver.offer("owner", "customer", MEMORY - 100, 100, 100).decision(), AdmissionDecision.ADMITTED);
        Assert.assertEquals(driver.offer("owner", "customer", 10, 100, 100).decision(), AdmissionDecision.QUEUED);
    }

    private static EndpointDriver warm(OutputLengths lengths) {
        EndpointDriver driver = new EndpointDriver(
                new AdmissionController(new AdmissionSettings(64, MEMORY, 64), lengths, FairShares.EQUAL));
        driver.warmUp(64, 20);
        return driver;
    }

    private static final class MaximumLengths implements OutputLengths {

        @Override
        public double survival(OutputQuery output, int generated, int steps) {
            return generated + steps < output.maximumOutputTokens() ? 1 : 0;
        }

        @Override
        public double expectedRemaining(OutputQuery output, int generated) {
            return output.maximumOutputTokens() - generated;
        }

        @Override
        public void recordOutput(OutputQuery output, int generated) {}
    }
}
