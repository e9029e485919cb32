package org.redwinghook.standins.engine;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against an engine whose memory never fills up, or whose preempted generations lose or repeat tokens. */
public class BatchTest {

    private static final int MANY = 1_000;

    private final List<String> cacheEvents = new ArrayList<>();
    private final PrefixCache cache = new PrefixCache(128, (kind, prefixHash) -> cacheEvents.add(kind));

    @Test
    public void preemptsLowestPriorityWhenMemoryIsFullAndFinishesItLater() {
        Batch batch = new Batch(8, 40, cache);
        Generation highPriority = generation("urgent", 0, 1);
        Generation lowPriority = generation("patient", 5, 2);
        batch.add(lowPriority);
        batch.add(highPriority);
        int steps = 0;
        while (batch.runningCount() + batch.waitingCount() > 0) {
            batch.admit();
            int previousTokens = lowPriority.outputTokens();
            batch.decode();
            Assert.assertTrue(batch.memoryUsedTokens() <= 40);
            Assert.assertTrue(lowPriority.outputTokens() >= previousTokens);
            Assert.assertTrue(++steps < MANY);
        }
        Assert.assertTrue(batch.preemptions() > 0);
        Assert.assertEquals(highPriority.outputTokens(), 25);
        Assert.assertEquals(lowPriority.outputTokens(), 25);
        Assert.assertEquals(batch.memoryUsedTokens(), 0);
    }

    @Test
    public void finishesOutputThatFillsMemory() {
        Batch batch = new Batch(8, 10, cache);
        Generation only = generation("only", 0, 1);
        batch.add(only);
        for (int step = 0; step < 20; step++) {
            batch.admit();
            batch.decode();
        }
        Assert.assertTrue(only.isFinished());
        Assert.assertEquals(only.outputTokens(), 9);
        Assert.assertEquals(batch.runningCount() + batch.waitingCount(), 0);
    }

    @Test
    public void admitsByPriorityThenArrival() {
        Batch batch = new Batch(1, MANY, cache);
        Generation late = generation("late", 1, 2);
        Generation early = generation("early", 1, 1);
        Generation highPriority = generation("urgent", 0, 3);
        List.of(late, early, highPriority).forEach(batch::add);
        batch.admit();
        Assert.assertEquals(batch.decode(), List.of(highPriority));
        batch.remove(highPriority);
        batch.admit();
        Assert.assertEquals(batch.decode(), List.of(early));
    }

    @Test
    public void cacheSavesPrefillUntilBlocksAreEvicted() {
        PrefixCache small = new PrefixCache(128, (kind, prefixHash) -> cacheEvents.add(kind));
        String first = "a".repeat(600);
        Assert.assertEquals(small.lookUpAndStore(first), 0);
        Assert.assertEquals(small.lookUpAndStore(first + "b".repeat(300)), 128);
        Assert.assertTrue(cacheEvents.contains("evicted"));
        Assert.assertEquals(small.lookUpAndStore(first), 0, "the oldest block was evicted");
    }

    @Test
    public void outputIsDeterministicAndLengthIsLongTailed() {
        OutputPlan plan = new OutputPlan(7, 60, "a prompt");
        Assert.assertEquals(new OutputPlan(7, 60, "a prompt").naturalLength(), plan.naturalLength());
        Assert.assertEquals(new OutputPlan(7, 60, "a prompt").word(3), plan.word(3));
        int[] lengths = new int[MANY];
        for (int number = 0; number < MANY; number++) {
            lengths[number] = new OutputPlan(7, 60, "prompt " + number).naturalLength();
        }
        Arrays.sort(lengths);
        Assert.assertTrue(lengths[0] >= 1);
        Assert.assertTrue(lengths[MANY * 99 / 100] > 10 * lengths[MANY / 2]);
    }

    @Test
    public void stepTimeGrowsWithTheBatchAndThePrefill() {
        EngineTiming pace = new EngineTiming(20_000, 200, 50, 64);
        Assert.assertEquals(pace.stepTimeMicros(0, 0), 20_000);
        Assert.assertEquals(pace.stepTimeMicros(10, 100), 27_000);
    }

    @Test
    public void tokenTextContainsIndexAndGeneration() {
        GeneratedToken token = new GeneratedToken("hull", 12, "engine-1.2-3");
        Assert.assertEquals(GeneratedToken.parse(token.text()).orElseThrow(), token);
        Assert.assertTrue(GeneratedToken.parse("hull ").isEmpty());
    }

    /** Creates a generation whose natural length is far above its limit of 25 tokens. */
    private static Generation generation(String identifier, int priority, long arrival) {
        return new Generation(identifier, "long", new OutputPlan(1, 10_000, "long"), 25, priority, arrival);
    }
}
