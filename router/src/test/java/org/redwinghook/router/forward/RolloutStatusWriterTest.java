package org.redwinghook.router.forward;

import java.util.List;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.rollout.RolloutOrder;
import org.redwinghook.core.rollout.RolloutState;
import org.redwinghook.core.rollout.RolloutStatus;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against statuses that are lost, written twice or contradict each other when a router or the store fails. */
public class RolloutStatusWriterTest {

    private static final RolloutOrder ORDER = new RolloutOrder("calls", "v2", 12_000, 1);
    private static final RolloutStatus RUNNING = new RolloutStatus(RolloutState.RUNNING, "v2");
    private static final RolloutStatus COMPLETE = new RolloutStatus(RolloutState.COMPLETE, "v2");
    private static final RolloutStatus REVERTED = new RolloutStatus(RolloutState.REVERTED, "v2");

    private FakeRolloutStore store = new FakeRolloutStore();
    private long now;
    private Router first = new Router();
    private Router second = new Router();

    /** A router with the status that it wants and the state that it has seen in the store. */
    private final class Router {

        private @Nullable RolloutState wanted = RolloutState.COMPLETE;
        private @Nullable RolloutState stored;
        private final RolloutStatusWriter writer =
                new RolloutStatusWriter(store, ORDER, () -> now, () -> wanted, this::handleState, version -> {});

        private void handleState(RolloutState state) {
            stored = state;
            if (state.isFinal()) {
                wanted = null;
            }
        }
    }

    @BeforeMethod
    public void start() {
        now = 0;
        store = new FakeRolloutStore();
        store.statuses.add(RUNNING);
        first = new Router();
        second = new Router();
    }

    private void advance(long millis, Router... routers) {
        for (long end = now + millis; now < end; now += 100) {
            for (Router router : routers) {
                router.writer.advance(router == first ? 0 : 1);
            }
        }
    }

    @Test
    public void otherRouterWritesIfTheWriterDiedBeforeTheAppend() {
        store.losesAppends = true;
        advance(100, first, second);
        store.losesAppends = false;
        advance(2_000, second);
        Assert.assertEquals(store.statuses, List.of(RUNNING, COMPLETE));
        store.lateAppend.run();
        Assert.assertEquals(store.statuses, List.of(RUNNING, COMPLETE));
    }

    @Test
    public void statusIsNotWrittenTwiceIfTheWriterDiedBeforeTheResponse() {
        store.losesResponses = true;
        advance(100, first, second);
        store.losesResponses = false;
        advance(2_000, second);
        Assert.assertEquals(store.statuses, List.of(RUNNING, COMPLETE));
        Assert.assertEquals(second.stored, RolloutState.COMPLETE);
    }

    /** The version turns bad, and another service's status moves the end, while the append is on its way. */
    @Test
    public void decisionIsRepeatedAfterAConflict() {
        store.beforeAppend = () -> {
            store.beforeAppend = () -> {};
            store.statuses.add(RUNNING);
            first.wanted = RolloutState.REVERTED;
        };
        advance(100, first);
        Assert.assertEquals(store.statuses, List.of(RUNNING, RUNNING, REVERTED));
    }

    @Test
    public void statusOfAnotherRouterIsNotContradicted() {
        store.beforeAppend = () -> {
            store.beforeAppend = () -> {};
            store.statuses.add(REVERTED);
        };
        advance(1_000, first);
        Assert.assertEquals(store.statuses, List.of(RUNNING, REVERTED));
        Assert.assertEquals(first.stored, RolloutState.REVERTED);
    }

    @Test
    public void appendThatIsExecutedLateHasNoEffectAfterAnotherStatus() {
        store.losesAppends = true;
        advance(100, first);
        store.losesAppends = false;
        first.wanted = RolloutState.REVERTED;
        advance(1_000, first);
        store.lateAppend.run();
        Assert.assertEquals(store.statuses, List.of(RUNNING, REVERTED));
    }

    @Test
    public void statusIsWrittenOnceTheStoreIsBack() {
        store.isAway = true;
        advance(5_000, first);
        Assert.assertTrue(store.reads < 12, "reads " + store.reads);
        store.isAway = false;
        advance(1_000, first);
        Assert.assertEquals(store.statuses, List.of(RUNNING, COMPLETE));
    }

    /** A router that has not heard of a newer order must not replace its status. */
    @Test
    public void statusOfANewerOrderIsNotReplaced() {
        store.losesAppends = true;
        advance(100, first);
        store.losesAppends = false;
        store.add(RolloutState.RUNNING, "v3");
        advance(5_000, first);
        Assert.assertEquals(store.statuses.size(), 2);
    }
}
