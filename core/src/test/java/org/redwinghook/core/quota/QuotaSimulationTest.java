package org.redwinghook.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

import org.redwinghook.core.message.QuotaRequest;
import org.testng.Assert;
import org.testng.Reporter;
import org.testng.annotations.Test;

/** Guards against exceeded limits and wrong refusals when a customer's requests are distributed over many routers. */
public class QuotaSimulationTest {

    private static final int ROUTERS = 60;
    private static final long DURATION_MILLIS = 120_000;
    private static final long STEP_TOKENS = 256;
    private static final long MILLIS_PER_TOKEN = 10;
    private static final double MEAN_TOKENS = 10 + 0.9 * 100 + 0.1 * 2_000;

    /** Guards against a limit on requests that many routers exceed together. */
    @Test
    public void holdsRequestLimitUnderDoubleLoad() {
        Result result = new Simulation(new QuotaLimit(100, 1e9), 200, 0).run();
        result.report("requests at 200% of the limit");
        Assert.assertTrue(result.admitted <= 100 * DURATION_MILLIS / 1_000, result.toString());
        Assert.assertTrue(result.admitted >= 0.9 * 100 * DURATION_MILLIS / 1_000, result.toString());
    }

    /** Guards against a token limit that long outputs exceed, since their length is not known at the start. */
    @Test
    public void holdsTokenLimitUnderDoubleLoad() {
        QuotaLimit limit = new QuotaLimit(1_000, 100 * MEAN_TOKENS);
        Result result = new Simulation(limit, 200, 0).run();
        result.report("tokens at 200% of the limit");
        double allowed = limit.tokensPerSecond() * DURATION_MILLIS / 1_000;
        Assert.assertTrue(result.tokens <= 1.05 * allowed, result.toString());
        Assert.assertTrue(result.tokens >= 0.8 * allowed, result.toString());
    }

    /** Guards against refusals below the limit because other routers hold unused batches. */
    @Test
    public void rarelyRefusesBelowTheLimit() {
        Result result = new Simulation(new QuotaLimit(100, 100 * MEAN_TOKENS), 80, 0).run();
        result.report("80% of both limits");
        Assert.assertTrue(result.refusedShare() < 0.05, result.toString());
    }

    /** Guards against a second full bucket each time the owner router is lost. */
    @Test
    public void holdsLimitsWhenTheOwnerIsLostOften() {
        Result result = new Simulation(new QuotaLimit(100, 1e9), 200, 5_000).run();
        result.report("requests at 200% of the limit, owner lost every 5 s");
        Assert.assertTrue(result.admitted <= 1.05 * 100 * DURATION_MILLIS / 1_000, result.toString());
    }

    private record Result(long offered, long admitted, long tokens, QuotaLimit limit) {

        double refusedShare() {
            return 1 - (double) admitted / offered;
        }

        void report(String scenario) {
            double seconds = DURATION_MILLIS / 1_000.0;
            double requestShare = 100 * admitted / (limit.requestsPerSecond() * seconds);
            double tokenShare = 100 * tokens / (limit.tokensPerSecond() * seconds);
            String figures = "%s: %.1f%% of the request limit, %.1f%% of the token limit, %.2f%% refused";
            Reporter.log(String.format(figures, scenario, requestShare, tokenShare, 100 * refusedShare()), true);
        }
    }

    /** Next 256 tokens of a running generation, or its end. */
    private record Step(long atMillis, int router, long reserved, long generated, long total) {}

    /** Simulation in virtual time: each generation produces a token every 10 ms, and a prompt has 10 tokens. */
    private static final class Simulation {

        private final QuotaLimit limit;
        private final double offeredPerSecond;
        private final long ownerLifeMillis;
        private final Random random = new Random(7);
        private final List<CustomerLease> leases = new ArrayList<>();
        private final OutputEstimates estimates = new OutputEstimates();
        private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingLong(Step::atMillis));
        private QuotaOwner owner = new QuotaOwner(0);
        private long ownerSinceMillis;
        private long tokens;

        Simulation(QuotaLimit limit, double offeredPerSecond, long ownerLifeMillis) {
            this.limit = limit;
            this.offeredPerSecond = offeredPerSecond;
            this.ownerLifeMillis = ownerLifeMillis;
            for (int router = 0; router < ROUTERS; router++) {
                leases.add(new CustomerLease());
            }
        }

        Result run() {
            long offered = 0;
            long admitted = 0;
            double now = 0;
            long nextSettling = 0;
            while (now < DURATION_MILLIS) {
                now += -Math.log(1 - random.nextDouble()) * 1_000 / offeredPerSecond;
                long millis = (long) now;
                generate(millis);
                for (; nextSettling <= millis; nextSettling += 500) {
                    settle(nextSettling);
                }
                replaceOwner(millis);
                offered++;
                int router = random.nextInt(ROUTERS);
                long reservation = 10 + estimates.expectedTokens("customer", "service", 10_000);
                if (tryAcquire(router, millis, reservation)) {
                    admitted++;
                    tokens += 10;
                    long total = 10 + (random.nextInt(10) == 0 ? 2_000 : 100);
                    steps.add(new Step(millis, router, reservation, 10, total));
                }
            }
            return new Result(offered, admitted, tokens, limit);
        }

        private void generate(long now) {
            while (!steps.isEmpty() && steps.peek().atMillis() <= now) {
                Step step = steps.remove();
                CustomerLease lease = leases.get(step.router());
                long reserved = step.reserved();
                if (step.generated() > reserved) {
                    reserved += STEP_TOKENS;
                    lease.charge(step.atMillis(), STEP_TOKENS);
                }
                if (step.generated() == step.total()) {
                    estimates.recordOutput("customer", "service", step.total() - 10);
                    lease.refund(step.atMillis(), reserved - step.total());
                    continue;
                }
                long newTokens = Math.min(STEP_TOKENS, step.total() - step.generated());
                tokens += newTokens;
                long at = step.atMillis() + newTokens * MILLIS_PER_TOKEN;
                steps.add(new Step(at, step.router(), reserved, step.generated() + newTokens, step.total()));
            }
        }

        private boolean tryAcquire(int router, long now, long reservation) {
            CustomerLease lease = leases.get(router);
            if (lease.tryAcquire(now, reservation)) {
                return true;
            }
            QuotaRequest request = lease.createRequest(now, 0, "customer", 1, reservation, limit);
            lease.applyGrant(now, now, owner.grant(now, request, limit));
            return lease.tryAcquire(now, reservation);
        }

        private void settle(long now) {
            for (CustomerLease lease : leases) {
                if (lease.needsSettling(now)) {
                    lease.applyGrant(
                            now, now, owner.grant(now, lease.createRequest(now, 0, "customer", 0, 0, limit), limit));
                }
            }
        }

        private void replaceOwner(long now) {
            if (ownerLifeMillis > 0 && now - ownerSinceMillis >= ownerLifeMillis) {
                ownerSinceMillis = now;
                owner = new QuotaOwner(now);
            }
        }
    }
}
