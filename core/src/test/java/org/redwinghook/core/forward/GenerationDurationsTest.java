package org.redwinghook.core.forward;

import org.redwinghook.core.relocation.MoveOrder;
import org.redwinghook.core.relocation.RunAtEngine;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against runs that are left at an engine which shuts down before they end. */
public class GenerationDurationsTest {

    private static final String SERVICE = "models";
    private static final double NOTICE_MILLIS = 2_000;
    private static final long REMAINING_TOKENS = 100;

    private static RunAtEngine run(GenerationDurations durations) {
        return new RunAtEngine("run", 2_000, durations.typicalOutputMillis(SERVICE, REMAINING_TOKENS), false);
    }

    /** Replays a departure with 2 s notice of an engine at which an event of four tokens takes 150 ms. */
    @Test
    public void runAtASlowEngineIsNotExpectedToEndByItself() {
        GenerationDurations durations = new GenerationDurations();
        Assert.assertTrue(MoveOrder.isExpectedToEnd(run(durations), NOTICE_MILLIS), "by the data sheet");
        for (int sample = 0; sample < 10; sample++) {
            durations.recordEvents(SERVICE, 7, 7 * 150);
        }
        Assert.assertFalse(MoveOrder.isExpectedToEnd(run(durations), NOTICE_MILLIS));
    }

    @Test
    public void servicesAreMeasuredByThemselves() {
        GenerationDurations durations = new GenerationDurations();
        double unknownMillis = durations.typicalOutputMillis("others", REMAINING_TOKENS);
        durations.recordEvents(SERVICE, 7, 7 * 150);
        Assert.assertEquals(durations.typicalOutputMillis("others", REMAINING_TOKENS), unknownMillis);
    }
}
