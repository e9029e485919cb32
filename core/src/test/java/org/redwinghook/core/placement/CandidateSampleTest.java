package org.redwinghook.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against many routers that send their prompts to the same engine at once. */
public class CandidateSampleTest {

    private static final PlacementQuery DRAFT = new PlacementQuery(3_000, 750);

    /**
     * Load: memory is free at two of sixteen engines, and twelve routers place a prompt before the others' prompts are
     * reported.
     */
    public static class FreedMemory {

        @Test
        public void notAllRoutersChooseTheFreedEngines() {
            Assert.assertEquals(
                    choices(1).getOrDefault("engine-0", 0) + choices(1).getOrDefault("engine-1", 0), 12);
            Map<String, Integer> sampled = choices(27);
            Assert.assertTrue(sampled.getOrDefault("engine-0", 0) <= 8, sampled.toString());
            Assert.assertTrue(sampled.getOrDefault("engine-1", 0) <= 8, sampled.toString());
        }
    }

    /** Load: a small deployment, in which no engine can be left out. */
    @Test
    public void keepsAllOfFewCandidatesAndAllForFewRouters() {
        Assert.assertEquals(
                CandidateSample.of(List.of(1, 2, 3, 4, 5, 6), 27, () -> 0.9).size(), 6);
        Assert.assertEquals(
                CandidateSample.of(List.of(1, 2, 3, 4, 5, 6, 7, 8), 4, () -> 0.9)
                        .size(),
                8);
    }

    private static Map<String, Integer> choices(int routers) {
        Random random = new Random(11);
        Map<String, Integer> choices = new HashMap<>();
        for (int router = 0; router < 12; router++) {
            List<Candidate> candidates = new ArrayList<>();
            for (int engine = 0; engine < 16; engine++) {
                WorkTotals work =
                        engine < 2 ? new WorkTotals(4, 0, 15_000, 14_000) : new WorkTotals(6, 0, 22_500, 20_000);
                double jitter = random.nextDouble() * Candidate.MAXIMUM_JITTER_MILLIS;
                candidates.add(
                        new Candidate("engine-" + engine, 24, 26_940, work, 0, Distance.LOCAL, 0, 1, false, jitter));
            }
            String chosen = PlacementPolicy.GENERATION
                    .choose(CandidateSample.of(candidates, routers, random::nextDouble), DRAFT)
                    .orElseThrow()
                    .id();
            choices.merge(chosen, 1, Integer::sum);
        }
        return choices;
    }
}
