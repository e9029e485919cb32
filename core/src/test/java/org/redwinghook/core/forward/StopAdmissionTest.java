package org.redwinghook.core.forward;

import java.util.Random;

import org.redwinghook.core.placement.PlacementQuery;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a stopping router that takes a request and cuts it off. */
public class StopAdmissionTest {

    private static final PlacementQuery LONG_DRAFT = new PlacementQuery(3_000, 900);
    private static final PlacementQuery SHORT_DRAFT = new PlacementQuery(3_000, 500);
    private static final PlacementQuery SHORT_ANSWER = new PlacementQuery(2_200, 12);

    private final StopAdmission admission = new StopAdmission(0, 7_500);

    @Test
    public void callIsTakenWhileItEndsBeforeTheStop() {
        Assert.assertTrue(admission.mayTakeCall(Double.POSITIVE_INFINITY, 1_200, 6_000));
        Assert.assertFalse(admission.mayTakeCall(Double.POSITIVE_INFINITY, 1_200, 6_100));
        Assert.assertTrue(admission.mayTakeCall(300, 1_200, 6_900));
        Assert.assertFalse(admission.mayTakeCall(300, 1_200, 7_000));
    }

    /** Guards against refusals of all calls in the last second of a stop, whose repeats reach other stopping routers. */
    @Test
    public void learnedDurationsCoverNearlyAllCalls() {
        CallDurations durations = new CallDurations();
        Assert.assertEquals(durations.longestMillis("calls", 900), 900.0);
        Random random = new Random(3);
        int longer = 0;
        for (int call = 0; call < 2_000; call++) {
            long millis = (long) (20 + 60 * -Math.log(1 - random.nextDouble()));
            longer += call > 50 && millis > durations.longestMillis("calls", 900) ? 1 : 0;
            durations.record("calls", millis);
        }
        Assert.assertTrue(longer <= 40, longer + " of 2000 calls took longer");
        Assert.assertTrue(durations.longestMillis("calls", 900) < 600);
    }

    @Test
    public void generationIsTakenAtFirstIfItsExpectedOutputEndsBeforeTheStop() {
        Assert.assertFalse(admission.mayTakeGeneration(LONG_DRAFT, 3_200, 39_000, 0));
        Assert.assertTrue(admission.mayTakeGeneration(SHORT_DRAFT, 3_200, 39_000, 0));
        Assert.assertTrue(admission.mayTakeGeneration(LONG_DRAFT, 3_200, 2_000, 2_000));
    }

    @Test
    public void generationIsTakenLaterOnlyIfItsLongestOutputEndsBeforeTheStop() {
        Assert.assertFalse(admission.mayTakeGeneration(SHORT_DRAFT, 3_200, 39_000, 3_000));
        Assert.assertTrue(admission.mayTakeGeneration(SHORT_ANSWER, 55, 6_000, 5_000));
        Assert.assertFalse(admission.mayTakeGeneration(SHORT_ANSWER, 55, 6_000, 6_000));
    }

    /** Guards against a router that has just started and refuses its first calls for the whole timeout of their route. */
    @Test
    public void firstCallsOfANewRouterAreTakenByTheObjectiveOfTheirRoute() {
        CallDurations durations = new CallDurations();
        Assert.assertTrue(admission.mayTakeCall(durations.longestMillis("calls", 300), 10_000, 6_900));
        Assert.assertFalse(admission.mayTakeCall(durations.longestMillis("calls", 300), 10_000, 7_000));
    }

    /** Replays callers that reach one stopping router after the other because all of them stop. */
    @Test
    public void lastRouterTakesWhatIsLikelyToEndInTime() {
        Assert.assertTrue(admission.mayTakeCallAsLastRouter(40, 1_200, 7_450));
        Assert.assertFalse(admission.mayTakeCallAsLastRouter(40, 1_200, 7_470));
    }

    @Test
    public void refusedCallersReturnWhenAnotherRouterTakesThem() {
        Assert.assertEquals(admission.retryAfterMillis(false, 1_000), 50);
        Assert.assertEquals(admission.retryAfterMillis(true, 1_000), 6_500);
        Assert.assertEquals(admission.retryAfterMillis(true, 7_400), 1_000);
    }

    /**
     * Guards against a generation that is taken long after the stop signal and cut off. Replays a busy engine, at which
     * the first event takes 1.36 s and an output token 17.2 ms.
     */
    @Test
    public void lateGenerationsEndInTimeAtABusyEngine() {
        int taken = 0;
        for (long arrival = 2_500; arrival <= 7_500; arrival += 10) {
            if (admission.mayTakeGeneration(SHORT_ANSWER, 55, 6_000, arrival)) {
                taken++;
                Assert.assertTrue(arrival + 1_360 + 55 * 17.2 <= 7_500, "taken after " + arrival + " ms");
            }
        }
        Assert.assertTrue(taken > 200, taken + " taken");
    }

    /** Guards against a late signal, which counts a request of the time after the first 3 s as an early one. */
    @Test
    public void generationIsTakenByItsExpectedOutputOnlyWhileTheLoadBalancerHasNotNoticedTheStop() {
        Assert.assertTrue(admission.mayTakeGeneration(new PlacementQuery(2_200, 300), 3_200, 39_000, 2_400));
        Assert.assertFalse(admission.mayTakeGeneration(new PlacementQuery(2_200, 300), 3_200, 39_000, 2_600));
    }
}
