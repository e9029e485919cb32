package org.redwinghook.router.forward;

import java.util.ArrayList;
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
    private final List<String> unfinished = new ArrayList<>();
    private long now;
    private Router first = new Router();
    private Router second = new Router();

    /** A router with the status that it wants and the state that it has seen in the store. */
    private final class Router {

        private @Nullable RolloutState wanted = RolloutState.COMPLETE;
        private @Nullable RolloutState stored;
        private final RolloutStatusWriter writer =
                new RolloutStatusWriter(store, ORDER, () -> now, () -> wanted, this::handleState, unfinished::add);

        private void handleState(RolloutState state, long era) {
            stored = state;
            if (state.isFinal()) {
                wanted = null;
            }
        }
    }

    @BeforeMethod
    public void start() {
        now = 0;
        unfinished.clear();
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

    private void returnFromCopy(RolloutStatus... copied) {
        store.statuses.clear();
        store.statuses.addAll(List.of(copied));
        store.era++;
        first.writer.beginEra(store.era);
        second.writer.beginEra(store.era);
    }

    /** Guards against a lost status that nobody writes again, and against one that each router writes. */
    @Test
    public void lostStatusIsWrittenAgainOnce() {
        advance(1_000, first, second);
        Assert.assertEquals(store.statuses, List.of(RUNNING, COMPLETE));
        returnFromCopy(new RolloutStatus(RolloutState.REVERTED, "v1"), RUNNING);
        first.wanted = RolloutState.COMPLETE;
        second.wanted = RolloutState.COMPLETE;
        advance(3_000, first, second);
        Assert.assertEquals(store.statuses.subList(1, store.statuses.size()), List.of(RUNNING, COMPLETE));
    }

    /** Guards against a version that counts as unfinished again, since the copy has an older status of its roll-out. */
    @Test
    public void copyWithoutTheEndOfAnEarlierRolloutChangesNothing() {
        store.statuses.set(0, new RolloutStatus(RolloutState.COMPLETE, "v1"));
        advance(1_000, first);
        returnFromCopy(new RolloutStatus(RolloutState.RUNNING, "v1"));
        first.wanted = RolloutState.COMPLETE;
        advance(1_000, first);
        Assert.assertEquals(store.statuses.get(1), COMPLETE);
        Assert.assertEquals(unfinished, List.of());
    }

    /** Guards against a status that is withheld since one of an earlier order has a higher offset than before the return. */
    @Test
    public void earlierStatusAtAnotherOffsetDoesNotSupersedeTheOrder() {
        store.statuses.clear();
        advance(1_000, first);
        Assert.assertEquals(store.statuses, List.of(COMPLETE));
        returnFromCopy(new RolloutStatus(RolloutState.COMPLETE, "v1"));
        first.wanted = RolloutState.COMPLETE;
        advance(1_000, first);
        Assert.assertEquals(store.statuses.get(1), COMPLETE);
    }

    /** Guards against a contradiction, since the end of the new log happens to be the one that was read before. */
    @Test
    public void pageOfTheEraBeforeIsReadAgain() {
        store.afterRead = () -> {
            store.afterRead = () -> {};
            returnFromCopy(REVERTED);
        };
        advance(1_000, first);
        Assert.assertEquals(store.statuses, List.of(REVERTED));
        Assert.assertEquals(first.stored, RolloutState.REVERTED);
    }

    /** Guards against a write at an end that was read before the store came back, whose offset is given out again. */
    @Test
    public void writeForTheEraBeforeIsRepeated() {
        store.beforeAppend = () -> {
            store.beforeAppend = () -> {};
            returnFromCopy(REVERTED);
        };
        advance(1_000, first);
        Assert.assertEquals(first.stored, RolloutState.COMPLETE);
        Assert.assertEquals(store.reads, 2);
    }
}
