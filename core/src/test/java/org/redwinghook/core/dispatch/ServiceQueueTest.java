package org.redwinghook.core.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.redwinghook.core.placement.Candidate;
import org.redwinghook.core.placement.Distance;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.WorkTotals;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against late, starved and lost requests while capacity is short. */
public class ServiceQueueTest {

    private static final PlacementQuery LONG = new PlacementQuery(3_079, 750);

    private static EngineReplay.Kind tags() {
        return new EngineReplay.Kind(0, "tags", new PlacementQuery(2_550, 10), 1_500, 6_000, new EngineReplay.Counts());
    }

    private static EngineReplay.Kind descriptions(String customer) {
        return new EngineReplay.Kind(2, customer, LONG, 4_000, 39_000, new EngineReplay.Counts());
    }

    private static EngineReplay.Load load(EngineReplay.Kind kind, double perSecond) {
        return new EngineReplay.Load(kind, perSecond);
    }

    /** Loads of several routers, compared with sending at once. */
    public static class Replays {

        /**
         * Bursts of long work on short work.
         *
         * @return engines, routers, tags a second at an engine, descriptions a second at an engine in the burst
         */
        @DataProvider
        public Object[][] bursts() {
            return new Object[][] {{4, 3, 1.2, 1.1}, {4, 3, 0.8, 1.4}, {24, 7, 1.2, 1.1}, {24, 7, 0.8, 1.4}};
        }

        @Test(dataProvider = "bursts")
        public void burstOfLongWorkDelaysNoShortWork(int engines, int routers, double shortRate, double longRate) {
            List<Integer> late = new ArrayList<>();
            for (boolean waits : new boolean[] {false, true}) {
                EngineReplay.Kind tags = tags();
                EngineReplay.Kind descriptions = descriptions("descriptions");
                EngineReplay replay = new EngineReplay(routers, engines, waits);
                for (double factor : new double[] {1 / 2.3, 1, 1 / 2.3}) {
                    replay.play(
                            10_000, load(tags, shortRate * engines), load(descriptions, longRate * factor * engines));
                }
                replay.play(40_000);
                late.add(tags.counts().late());
                late.add(tags.counts().late() + descriptions.counts().late());
                if (waits) {
                    Assert.assertEquals(replay.preemptions, 0, "preempted runs");
                    Assert.assertEquals(
                            tags.counts().completed + descriptions.counts().completed,
                            tags.counts().sent + descriptions.counts().sent);
                }
            }
            Assert.assertTrue(late.get(2) < late.get(0), "late tags: at once, all, waiting, all: " + late);
            Assert.assertTrue(late.get(3) < late.get(1), "late tags: at once, all, waiting, all: " + late);
        }

        @Test
        public void retryStormServesMoreInTimeThanSendingAtOnce() {
            List<Integer> onTime = new ArrayList<>();
            for (boolean waits : new boolean[] {false, true}) {
                EngineReplay.Kind tags = tags();
                EngineReplay replay = new EngineReplay(3, 4, waits);
                replay.callersRetry = true;
                replay.play(15_000, load(tags, 24.0));
                replay.play(15_000, load(tags, 4.0));
                onTime.add(tags.counts().onTime);
            }
            Assert.assertTrue(onTime.get(1) > onTime.get(0), "on time: at once, waiting: " + onTime);
        }

        @Test
        public void fullMemoryIsWaitedForAndNoRunIsPreempted() {
            for (boolean waits : new boolean[] {false, true}) {
                EngineReplay.Kind descriptions = descriptions("descriptions");
                EngineReplay replay = new EngineReplay(3, 4, waits);
                IntStream.range(0, 60).forEach(index -> replay.arrive(descriptions, index % 3));
                replay.play(39_000);
                Assert.assertEquals(replay.preemptions > 0, !waits, "preemptions with waiting: " + waits);
                Assert.assertEquals(descriptions.counts().completed, 60);
            }
        }

        @Test
        public void rareCustomerIsServedBesideALargeOne() {
            EngineReplay.Kind large = descriptions("large");
            EngineReplay.Kind rare = descriptions("rare");
            EngineReplay replay = new EngineReplay(3, 4, true);
            replay.play(20_000, load(large, 8), load(rare, 0.3));
            replay.play(40_000);
            Assert.assertEquals(rare.counts().late(), 0, "late of " + rare.counts().sent);
            Assert.assertTrue(large.counts().late() > 0, "the load is too small");
        }

        /** The share of less urgent work is a tenth of what is sent while it waits; the bound leaves out begun runs. */
        @Test
        public void lessUrgentWorkIsServedUnderLastingUrgentLoad() {
            EngineReplay.Kind urgent =
                    new EngineReplay.Kind(0, "urgent", LONG, 4_000, 39_000, new EngineReplay.Counts());
            EngineReplay.Kind other = descriptions("other");
            EngineReplay replay = new EngineReplay(3, 4, true);
            replay.play(40_000, load(urgent, 6), load(other, 2));
            Assert.assertTrue(
                    other.counts().completed * 20 >= urgent.counts().completed,
                    other.counts().completed + " beside " + urgent.counts().completed);
        }

        @Test
        public void queueGoesOnWhenHalfOfTheRoutersAreLost() {
            EngineReplay.Kind descriptions = descriptions("descriptions");
            EngineReplay replay = new EngineReplay(4, 4, true);
            IntStream.range(0, 24).forEach(index -> replay.arrive(descriptions, 2 + index % 2));
            replay.play(1_000);
            IntStream.range(0, 10).forEach(index -> replay.arrive(descriptions, index % 2));
            replay.loseRouter();
            replay.loseRouter();
            replay.play(15_000);
            Assert.assertEquals(descriptions.counts().completed, 10);
        }
    }

    /** Single decisions at endpoints with a given work. */
    public static class Decisions implements CandidateSource {

        private static final long NOW = 1_000_000;
        private WorkTotals work = WorkTotals.NONE;
        private WorkTotals workAtOther = WorkTotals.NONE;
        private int endpointsOfAllVersions = 2;

        @Override
        public List<Candidate> candidates(DispatchRequest request) {
            int slots = request.rule() == CapacityRule.CALL ? 6 : 24;
            List<WorkTotals> works =
                    switch (request.scope()) {
                        case "route at busy" -> List.of(work);
                        case "route at gone" -> List.of();
                        default -> List.of(work, workAtOther);
                    };
            int memory = EngineReplay.MEMORY_TOKENS;
            return works.stream()
                    .map(total -> new Candidate(
                            total == work ? "e" : "other", slots, memory, total, 0, Distance.LOCAL, 0, 1, false, 0))
                    .toList();
        }

        @Override
        public List<Candidate> sample(List<Candidate> candidates) {
            return candidates.subList(0, Math.min(1, candidates.size()));
        }

        @Override
        public int endpointsOfUrgentRequests(DispatchRequest request, List<Candidate> candidates) {
            return request.scope().equals("route") ? candidates.size() : endpointsOfAllVersions;
        }

        @Override
        public int routers() {
            return 2;
        }

        private static DispatchRequest request(
                String id, int priority, CapacityRule rule, PlacementQuery query, long objective, long timeout) {
            return new DispatchRequest(
                    id,
                    "route",
                    "customer",
                    DispatchRequest.rank(priority, 0),
                    rule,
                    query,
                    NOW,
                    NOW + objective,
                    NOW + timeout);
        }

        private static DispatchRequest ofScope(String scope) {
            CapacityRule rule = CapacityRule.GENERATION;
            return new DispatchRequest(scope, scope, "", 100, rule, LONG, NOW, NOW + 4_000, NOW + 39_000);
        }

        private static DispatchRequest call(long timeoutMillis) {
            return request("call", 0, CapacityRule.CALL, new PlacementQuery(0, 0), 300, timeoutMillis);
        }

        private void fill(WorkTotals ofEach) {
            work = ofEach;
            workAtOther = ofEach;
        }

        private List<String> decide(ServiceQueue queue, long nowMillis) {
            List<String> decisions = new ArrayList<>();
            ServiceQueue.Pass pass = queue.serve(this, nowMillis);
            for (DispatchDecision next = pass.next(); next != null; next = pass.next()) {
                decisions.add(next.request().id() + " " + next.outcome());
            }
            return decisions;
        }

        /** Guards against an order that depends on the order of arrival or lets a late request delay others. */
        @Test
        public void urgentThenTimelyThenNearestThenSmallestComesFirst() {
            fill(WorkTotals.NONE);
            ServiceQueue queue = new ServiceQueue();
            CapacityRule rule = CapacityRule.GENERATION;
            queue.add(request("late", 0, rule, LONG, 100, 9_000), NOW);
            queue.add(request("other", 2, rule, LONG, 4_000, 9_000), NOW);
            queue.add(request("large", 0, rule, LONG, 4_000, 9_000), NOW);
            queue.add(request("small", 0, rule, new PlacementQuery(10, 10), 4_000, 9_000), NOW);
            queue.add(request("near", 0, rule, LONG, 3_000, 9_000), NOW);
            Assert.assertEquals(queue.removeLast().id(), "other");
            Assert.assertEquals(decide(queue, NOW), List.of("near SENT", "small SENT", "large SENT", "late SENT"));
        }

        /** Guards against waits for the endpoints of a sample while others have capacity. */
        @Test
        public void requestDoesNotWaitIfOnlyItsSampleIsFull() {
            fill(WorkTotals.NONE);
            work = new WorkTotals(6, 0, 0, 0);
            ServiceQueue queue = new ServiceQueue();
            queue.add(call(1_500), NOW);
            Assert.assertEquals(decide(queue, NOW), List.of("call SENT"));
        }

        /**
         * Calls at full endpoints, whose counts may be outdated.
         *
         * @return timeout and time since the arrival in milliseconds, and the decision
         */
        @DataProvider
        public Object[][] calls() {
            return new Object[][] {
                {1_500, 0, List.of()},
                {1_500, 74, List.of()},
                {1_500, 75, List.of("call SENT_OVERDUE")},
                {20, 0, List.of("call UNSERVABLE")}
            };
        }

        @Test(dataProvider = "calls")
        public void callWaitsForASlotForAPartOfItsObjective(long timeout, long elapsed, List<String> expected) {
            fill(new WorkTotals(6, 0, 0, 0));
            ServiceQueue queue = new ServiceQueue();
            queue.add(call(timeout), NOW);
            Assert.assertEquals(decide(queue, NOW + elapsed), expected);
        }

        /** Guards against streams of a busy version that delay new ones, and of a gone version that wait in vain. */
        @Test
        public void versionWithoutCapacityDelaysOnlyItsOwnStreams() {
            work = new WorkTotals(6, 0, 24_000, 24_000);
            workAtOther = WorkTotals.NONE;
            ServiceQueue queue = new ServiceQueue();
            for (String scope : List.of("route at busy", "route at gone", "route")) {
                queue.add(ofScope(scope), NOW);
            }
            Assert.assertEquals(decide(queue, NOW), List.of("route at gone NO_ENDPOINT", "route SENT"));
            Assert.assertEquals(queue.size(), 1);
        }

        /** Guards against continued streams that wait since their few endpoints seem to receive all urgent requests. */
        @Test
        public void continuedStreamLeavesMemoryForItsShareOfUrgentRequestsOnly() {
            for (int endpoints : new int[] {1, 40}) {
                endpointsOfAllVersions = endpoints;
                work = new WorkTotals(4, 0, 14_000, 14_000);
                ServiceQueue queue = new ServiceQueue();
                for (int index = 0; index < 40; index++) {
                    DispatchRequest urgent = request("urgent", 0, CapacityRule.GENERATION, LONG, 4_000, 39_000);
                    queue.add(urgent, NOW);
                    queue.remove(urgent);
                }
                queue.add(ofScope("route at busy"), NOW);
                Assert.assertEquals(decide(queue, NOW), endpoints == 1 ? List.of() : List.of("route at busy SENT"));
            }
        }

        /** Guards against generations that wait for ever because of wrong estimates, or overflow the memory by much. */
        @Test
        public void overdueGenerationIsSentOnlyIfItNearlyFits() {
            for (long resident : new long[] {21_500, 24_000}) {
                fill(new WorkTotals(6, 0, resident, resident));
                ServiceQueue queue = new ServiceQueue();
                queue.add(request("late", 0, CapacityRule.GENERATION, LONG, 4_000, 39_000), NOW);
                Assert.assertEquals(decide(queue, NOW + 5_900), List.of());
                Assert.assertEquals(
                        decide(queue, NOW + 6_000), resident < 22_000 ? List.of("late SENT_OVERDUE") : List.of());
            }
        }

        /** Guards against refused callers that all come back at once, or when they cannot be served any more. */
        @Test
        public void retryDelaysAreSpreadUrgentFirstWithinAThirdOfTheTimeLeft() {
            for (double capacityMillis : new double[] {0, 100, 1e9}) {
                List<Long> delays = new ArrayList<>();
                for (int priority = 0; priority < 3; priority++) {
                    DispatchRequest refused = request("id-" + priority, priority, CapacityRule.CALL, LONG, 300, 3_000);
                    delays.add(RetryDelay.millis(refused, capacityMillis, NOW + 30));
                }
                Assert.assertTrue(delays.get(0) > 0 && delays.get(2) <= 990, delays.toString());
                Assert.assertTrue(delays.get(0) < delays.get(1) && delays.get(1) < delays.get(2), delays.toString());
            }
        }
    }
}
