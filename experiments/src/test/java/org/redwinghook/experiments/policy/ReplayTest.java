package org.redwinghook.experiments.policy;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against results that differ between runs with the same seed, and against requests that a replay loses. */
public class ReplayTest {

    private static final long SEED = 5;
    private static final double LIGHT_RATE_FACTOR = 0.08;

    @Test
    public void sameSeedGivesSameTable() {
        Assert.assertEquals(renderTable(SEED), renderTable(SEED));
    }

    @Test
    public void differentSeedsGiveDifferentTables() {
        Assert.assertNotEquals(renderTable(SEED), renderTable(SEED + 1));
    }

    @Test
    public void everyRequestIsServedOrRefused() {
        for (Policy policy : Policy.values()) {
            RequestCounts total = replay(policy, SEED).total();
            double sum = total.onTimePercent() + total.latePercent() + total.refusedPercent();
            Assert.assertEquals(sum, 100, 0.001, policy.title());
        }
    }

    @Test
    public void traceHasLongTailAndQuickCalls() {
        List<TraceRequest> trace = generateTrace(SEED, 1);
        Assert.assertTrue(trace.stream().anyMatch(request -> request.outputTokens() > 10_000));
        Assert.assertTrue(trace.stream()
                .filter(request -> request.kind() == RequestKind.QUICK)
                .allMatch(request -> request.outputTokens() < 512));
    }

    private static String renderTable(long seed) {
        Map<Policy, Measurements> results = new EnumMap<>(Policy.class);
        for (Policy policy : List.of(Policy.LEAST_OUTSTANDING, Policy.REDWINGHOOK)) {
            results.put(policy, replay(policy, seed));
        }
        return new PolicyTable(Deployment.PARNA_MUHELY, results).markdown();
    }

    private static Measurements replay(Policy policy, long seed) {
        return Replay.withMove(Deployment.PARNA_MUHELY, policy, generateTrace(seed, LIGHT_RATE_FACTOR), seed);
    }

    private static List<TraceRequest> generateTrace(long seed, double rateFactor) {
        return new TraceGenerator(Deployment.PARNA_MUHELY, seed)
                .generate(
                        List.of(RequestKind.values()),
                        TraceGenerator.usualCustomers(Deployment.PARNA_MUHELY),
                        rateFactor);
    }
}
