package org.redwinghook.core.rollout;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against decisions that change since the store came back from a copy, and against states that stay lost. */
public class LostStateTest {

    private static final RolloutOrder ORDER = new RolloutOrder("calls", "v2", 12_000, 1);
    private static final long NOW = 3_000;

    private RolloutDecision decision = new RolloutDecision(ORDER, RolloutLimits.DEFAULT, "router-1", false, 0);

    @BeforeMethod
    public void start() {
        decision = new RolloutDecision(ORDER, RolloutLimits.DEFAULT, "router-1", false, 0);
        decision.beginEra(1);
        decision.recordState(RolloutState.RUNNING, 1);
    }

    @Test
    public void runningStateIsWrittenAgain() {
        Assert.assertNull(decision.wantedState(NOW));
        decision.beginEra(2);
        Assert.assertEquals(decision.wantedState(NOW), RolloutState.RUNNING);
        decision.recordState(RolloutState.RUNNING, 2);
        Assert.assertNull(decision.wantedState(NOW));
    }

    /** The copy has the state before, or a router that read only the copy decided otherwise. */
    @Test
    public void finalStateStaysAndIsWrittenAgain() {
        decision.recordState(RolloutState.COMPLETE, 1);
        for (long era = 2; era <= 3; era++) {
            decision.beginEra(era);
            for (RolloutState other : List.of(RolloutState.RUNNING, RolloutState.REVERTED)) {
                decision.recordState(other, era);
                Assert.assertEquals(decision.phase(NOW), RolloutPhase.COMPLETE);
                Assert.assertEquals(decision.wantedState(NOW), RolloutState.COMPLETE);
            }
            decision.recordState(RolloutState.COMPLETE, era);
            Assert.assertNull(decision.wantedState(NOW));
        }
    }

    /** Guards against a write by each router: one that hears that the store has the state leaves it. */
    @Test
    public void stateThatAnotherRouterHasSeenIsNotWritten() {
        RolloutDecision other = new RolloutDecision(ORDER, RolloutLimits.DEFAULT, "router-2", false, 0);
        decision.recordState(RolloutState.COMPLETE, 1);
        other.recordState(RolloutState.COMPLETE, 1);
        decision.beginEra(2);
        decision.merge(other.report(1, NOW), other.stateEra(), NOW);
        Assert.assertEquals(decision.wantedState(NOW), RolloutState.COMPLETE);
        other.recordState(RolloutState.COMPLETE, 2);
        decision.merge(other.report(1, NOW), other.stateEra(), NOW);
        Assert.assertNull(decision.wantedState(NOW));
    }

    /** A final state that was lost before this router saw it is final, and not yet in the store's new log. */
    @Test
    public void lostFinalStateOfAnotherRouterIsTaken() {
        RolloutDecision other = new RolloutDecision(ORDER, RolloutLimits.DEFAULT, "router-2", false, 0);
        other.recordState(RolloutState.REVERTED, 1);
        decision.beginEra(2);
        decision.recordState(RolloutState.RUNNING, 2);
        decision.merge(other.report(1, NOW), other.stateEra(), NOW);
        Assert.assertEquals(decision.phase(NOW), RolloutPhase.REVERTED);
        Assert.assertEquals(decision.wantedState(NOW), RolloutState.REVERTED);
    }
}
