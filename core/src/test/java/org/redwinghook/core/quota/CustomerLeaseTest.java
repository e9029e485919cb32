package org.redwinghook.core.quota;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;

import org.quicktheories.QuickTheory;
import org.quicktheories.generators.SourceDSL;
import org.redwinghook.core.message.CustomerUse;
import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;
import org.redwinghook.core.message.QuotaUse;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against quota that is created, lost or withheld from its customer. */
public class CustomerLeaseTest {

    private static final QuotaLimit LIMIT = new QuotaLimit(20, 1_000);

    /**
     * Guards against quota created by leases: at any time, use stays within the refill, regardless of returns and
     * debts.
     */
    @Test
    public void neverUsesMoreThanRefillAndDebt() {
        QuickTheory.qt().withExamples(200).forAll(SourceDSL.integers().all()).checkAssert(seed -> {
            Random random = new Random(seed);
            CustomerBuckets buckets = new CustomerBuckets(0);
            CustomerLease lease = new CustomerLease();
            long now = 0;
            long requests = 0;
            long tokens = 0;
            long debtAllowed = 0;
            for (int step = 0; step < 300; step++) {
                now += random.nextInt(300);
                long reservation = random.nextInt(200);
                if (!lease.tryAcquire(now, reservation)) {
                    QuotaRequest request = lease.createRequest(now, step, "customer", 1, reservation, LIMIT);
                    lease.applyGrant(now, now, buckets.grant(now, request, LIMIT));
                    if (!lease.tryAcquire(now, reservation)) {
                        continue;
                    }
                }
                requests++;
                long used = random.nextInt(400);
                tokens += used;
                debtAllowed = Math.max(debtAllowed, used);
                if (used < reservation) {
                    lease.refund(now, reservation - used);
                } else {
                    lease.charge(now, used - reservation);
                }
                Assert.assertTrue(requests <= now * LIMIT.requestsPerSecond() / 1_000 + 1, requests + " at " + now);
                Assert.assertTrue(
                        tokens <= now * LIMIT.tokensPerSecond() / 1_000 + debtAllowed + 1, tokens + " at " + now);
            }
        });
    }

    /** Guards against tokens that are returned twice, and against a debt that is lost, when an answer is lost. */
    @Test
    public void returnsOnceAndKeepsDebtUntilAnswered() {
        CustomerLease lease = new CustomerLease();
        lease.applyGrant(0, 0, new QuotaGrant(1, "customer", 2, 100, 2_000, 0));
        Assert.assertTrue(lease.tryAcquire(10, 40));
        QuotaRequest expired = lease.createRequest(2_000, 2, "customer", 1, 10, LIMIT);
        Assert.assertEquals(expired.returnedRequests(), 1);
        Assert.assertEquals(expired.returnedTokens(), 60);
        lease.timeOutRequest();
        lease.charge(2_010, 30);
        QuotaRequest again = lease.createRequest(2_020, 3, "customer", 1, 10, LIMIT);
        Assert.assertEquals(again.returnedTokens(), 0);
        Assert.assertEquals(again.debtTokens(), 30);
        lease.timeOutRequest();
        Assert.assertEquals(
                lease.createRequest(2_030, 4, "customer", 1, 10, LIMIT).debtTokens(), 30);
        lease.applyGrant(2_040, 2_030, new QuotaGrant(4, "customer", 0, 0, 2_000, 10));
        Assert.assertFalse(lease.needsSettling(2_050));
    }

    /** Guards against a request that can never run because its reservation is larger than the bucket. */
    @Test
    public void grantsReservationLargerThanTheBucketOnce() {
        CustomerBuckets buckets = new CustomerBuckets(0);
        QuotaRequest large = new QuotaRequest(1, "customer", 1, 50_000, 50_000, 0, 0, 0);
        Assert.assertEquals(buckets.grant(5_000, large, LIMIT).requests(), 0);
        Assert.assertEquals(buckets.grant(10_000, large, LIMIT).tokens(), 50_000);
        QuotaGrant refused = buckets.grant(20_000, large, LIMIT);
        Assert.assertEquals(refused.requests(), 0);
        Assert.assertEquals(refused.retryAfterMillis(), 40_000);
    }

    /**
     * Guards against a new owner that grants a second full bucket, and against customers that stay with a lost owner.
     */
    @Test
    public void newOwnerStartsEmpty() {
        List<String> routers =
                IntStream.range(0, 6).mapToObj(number -> "router-" + number).toList();
        String owner = QuotaOwner.findOwner("customer", routers).orElseThrow();
        List<String> remaining =
                routers.stream().filter(router -> !router.equals(owner)).toList();
        String newOwnerName = QuotaOwner.findOwner("customer", remaining).orElseThrow();
        Assert.assertNotEquals(newOwnerName, owner);
        QuotaOwner newOwner = new QuotaOwner(0);
        newOwner.updateRouters(60_000, customer -> true);
        QuotaRequest request = new QuotaRequest(1, "customer", 1, 10, 10, 0, 0, 0);
        Assert.assertEquals(newOwner.grant(60_000, request, LIMIT).requests(), 0);
        Assert.assertEquals(newOwner.grant(60_050, request, LIMIT).requests(), 1);
    }

    /** Guards against a region without any quota. */
    @Test
    public void dividesLimitByUseWithAMinimumShare() {
        Assert.assertEquals(RegionShares.divide(Map.of("a", 0.0, "b", 0.0)), Map.of("a", 0.5, "b", 0.5));
        Map<String, Double> shares = RegionShares.divide(Map.of("a", 100.0, "b", 0.0, "c", 0.0));
        Assert.assertEquals(shares.get("b"), 0.1, 1e-9);
        Assert.assertEquals(shares.get("a"), 0.8, 1e-9);
    }

    /**
     * Guards against a region that keeps a share that it does not use, and against two regions that both use the whole
     * limit.
     */
    @Test
    public void sharesOfRegionsConvergeWithTheirUse() {
        RegionUse seenByA = new RegionUse();
        RegionUse seenByB = new RegionUse();
        Set<String> regions = Set.of("a", "b");
        Assert.assertEquals(seenByA.ownShare(0, "customer", "a", 0.9, regions), 0.5, 1e-9);
        seenByA.recordReport(0, new QuotaUse("b", List.of(new CustomerUse("customer", 0.0))));
        Assert.assertEquals(seenByA.ownShare(10, "customer", "a", 0.5, regions), 0.9, 1e-9);
        Assert.assertEquals(seenByA.ownShare(30_001, "customer", "a", 0.5, regions), 0.5, 1e-9);
        double useA = 0.9;
        double useB = 0.1;
        for (int round = 0; round < 30; round++) {
            seenByA.recordReport(round, new QuotaUse("b", List.of(new CustomerUse("customer", useB))));
            seenByB.recordReport(round, new QuotaUse("a", List.of(new CustomerUse("customer", useA))));
            useA = seenByA.ownShare(round, "customer", "a", useA, regions);
            useB = seenByB.ownShare(round, "customer", "b", useB, regions);
            Assert.assertEquals(useA + useB, 1, 1e-9);
        }
        Assert.assertEquals(useA, 0.5, 0.01);
    }

    /** Guards against use that is counted although it was returned, and against use that never decays. */
    @Test
    public void recentUseFollowsGrantsAndDecays() {
        RecentUse use = new RecentUse(0);
        QuotaRequest batchRequest = new QuotaRequest(1, "customer", 600, 0, 0, 0, 0, 0);
        use.recordGrant(0, batchRequest, new QuotaGrant(1, "customer", 600, 0, 2_000, 0));
        Assert.assertEquals(use.shareOf(0, LIMIT), 0.5, 1e-9);
        QuotaRequest returnRequest = new QuotaRequest(2, "customer", 0, 0, 0, 300, 0, 0);
        use.recordGrant(0, returnRequest, new QuotaGrant(2, "customer", 0, 0, 2_000, 0));
        Assert.assertEquals(use.shareOf(0, LIMIT), 0.25, 1e-9);
        Assert.assertTrue(use.shareOf(600_000, LIMIT) < 0.001);
    }
}
