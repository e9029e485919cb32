package org.redwinghook.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.DoubleSummaryStatistics;
import java.util.List;
import java.util.OptionalDouble;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.stream.IntStream;

import org.jspecify.annotations.Nullable;
import org.testng.Assert;
import org.testng.Reporter;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against placement that ignores how fast endpoints are, and against placement that follows noise. */
public class EndpointSpeedsTest {

    private static final Load CALLS = new Load(PlacementPolicy.CALL, new PlacementQuery(0, 0), 6, 0, 2.2);
    private static final Load GENERATIONS =
            new Load(PlacementPolicy.GENERATION, new PlacementQuery(2_000, 100), 24, 26_899, 50);
    private static final List<String> INSTANCES =
            IntStream.range(0, 9).mapToObj(endpoint -> "e-" + endpoint + "@7").toList();
    private static final long DAY_MILLIS = 60_000;

    /** Time in which the replays may learn, in milliseconds; delays before it are not compared. */
    private static final long LEARNING_MILLIS = 10_000;

    /** Number of replayed days, as the delays of single days of generations differ by a tenth. */
    private static final int SEEDS = 8;

    /** What is placed, and the mean time between requests. */
    private record Load(
            PlacementPolicy policy, PlacementQuery query, int slots, long memoryTokens, double intervalMillis) {

        Candidate candidate(String id, WorkTotals work, double slowdown, double jitter) {
            Candidate any = new Candidate(id, slots, memoryTokens, work, 0, Distance.LOCAL, 0, 1, false, jitter);
            return any.withSlowdown(slowdown);
        }
    }

    /** How an endpoint is chosen; known are the factors of the day, but not the episodes. */
    private enum Choice {
        LEARNED,
        KNOWN,
        TODAY,
        SHORTEST_QUEUE
    }

    /** Time that work takes at the endpoints in turn, relative to the estimates, and whether there are episodes. */
    private record Day(boolean hasEpisodes, double... factors) {

        /** In an episode, an endpoint takes 2.5 times as long for 600 of 4,000 ms. */
        double factor(int endpoint, double millis) {
            long period = (long) (millis / 4_000);
            double offset = millis - period * 4_000 - new Random(endpoint * 7_919L + period).nextDouble() * 3_400;
            return factors[endpoint % factors.length] * (hasEpisodes && offset >= 0 && offset < 600 ? 2.5 : 1);
        }
    }

    private record Step(double atMillis, Runnable action) {}

    /** A day of one service: the delay is that of a call, or of the first event of a generation. */
    private static final class Replay {

        private final Load load;
        private final Day day;
        private final Choice choice;
        private final Random random;
        private final EndpointSpeeds speeds = new EndpointSpeeds();
        private final PriorityQueue<Step> steps = new PriorityQueue<>(Comparator.comparingDouble(Step::atMillis));
        private final int[] running = new int[INSTANCES.size()];
        private final int[] placed = new int[INSTANCES.size()];
        private final long[] waitingTokens = new long[INSTANCES.size()];
        private final double[] prefillEndsAt = new double[INSTANCES.size()];
        private final DoubleSummaryStatistics delays = new DoubleSummaryStatistics();
        private double now;

        Replay(Load load, Day day, Choice choice, long seed) {
            this.load = load;
            this.day = day;
            this.choice = choice;
            this.random = new Random(seed);
            schedule(0, this::arrive);
            schedule(0, this::refresh);
            while (now < DAY_MILLIS) {
                Step step = steps.remove();
                now = step.atMillis;
                step.action.run();
            }
        }

        private void schedule(double delayMillis, Runnable action) {
            steps.add(new Step(now + delayMillis, action));
        }

        private void refresh() {
            speeds.refresh(INSTANCES, 0, (long) now);
            schedule(500, this::refresh);
        }

        private void arrive() {
            schedule(-Math.log(1 - random.nextDouble()) * load.intervalMillis, this::arrive);
            int endpoint = choose();
            placed[endpoint]++;
            double factor = day.factor(endpoint, now) * (0.8 + 0.4 * random.nextDouble());
            WorkTotals before = work(endpoint);
            running[endpoint]++;
            if (load == CALLS) {
                // A call at a full endpoint is refused and repeated at the cost of another call.
                end(endpoint, SpeedSample.CALL, before, 60 * factor, before.running() >= load.slots ? 60 : 0, 0);
                return;
            }
            long tokens = load.query.promptTokens();
            prefillEndsAt[endpoint] =
                    Math.max(now, prefillEndsAt[endpoint]) + EngineSpeed.prefillMillis(tokens) * factor;
            waitingTokens[endpoint] += tokens;
            double first = prefillEndsAt[endpoint] - now + 12 * before.running() * factor;
            schedule(first, () -> waitingTokens[endpoint] -= tokens);
            end(endpoint, SpeedSample.FIRST_EVENT, before, first, 0, 100 * 8 * factor);
        }

        private void end(
                int endpoint, SpeedSample kind, WorkTotals before, double millis, double lost, double restMillis) {
            String id = INSTANCES.get(endpoint);
            Candidate candidate = load.candidate(id, before, 1, 0);
            double expected = load.policy.estimate(candidate, load.query).firstResultMillis();
            if (now >= LEARNING_MILLIS) {
                delays.accept(millis + lost);
            }
            schedule(millis, () -> speeds.record(id, "s", kind, millis / expected, (long) now));
            schedule(millis + restMillis, () -> running[endpoint]--);
            for (double gapAt = 300; gapAt < restMillis; gapAt += 200) {
                schedule(millis + gapAt, () -> {
                    double ratio = day.factor(endpoint, now) * (0.9 + 0.2 * random.nextDouble());
                    speeds.record(id, "s", SpeedSample.GAP, ratio, (long) now);
                });
            }
        }

        private int choose() {
            List<Candidate> candidates = new ArrayList<>();
            for (int endpoint = 0; endpoint < INSTANCES.size(); endpoint++) {
                double jitter = random.nextDouble() * (choice == Choice.SHORTEST_QUEUE ? 1 : 30);
                candidates.add(load.candidate(INSTANCES.get(endpoint), work(endpoint), slowdown(endpoint), jitter));
            }
            if (choice == Choice.SHORTEST_QUEUE) {
                candidates.replaceAll(
                        one -> one.withWork(new WorkTotals(one.work().running(), 0, 0, 0)));
            }
            return candidates.indexOf(load.policy.choose(candidates, load.query).orElseThrow());
        }

        private double slowdown(int endpoint) {
            return switch (choice) {
                case LEARNED -> speeds.slowdown(INSTANCES.get(endpoint));
                case KNOWN -> day.factors[endpoint % day.factors.length] / day.factors[0];
                case TODAY, SHORTEST_QUEUE -> 1;
            };
        }

        private WorkTotals work(int endpoint) {
            return new WorkTotals(running[endpoint], waitingTokens[endpoint], running[endpoint] * 2_100L, 0);
        }
    }

    @DataProvider
    public Object[][] differingDays() {
        return withEachLoad(
                new Day(false, 0.7, 0.7, 1.7), new Day(false, 0.91, 0.91, 2.21), new Day(true, 0.7, 0.7, 1.7));
    }

    @DataProvider
    public Object[][] equalDays() {
        return withEachLoad(new Day(false, 1), new Day(true, 1), new Day(false, 2));
    }

    private static Object[][] withEachLoad(Day... days) {
        return Arrays.stream(days)
                .flatMap(day -> List.of(CALLS, GENERATIONS).stream().map(load -> new Object[] {load, day}))
                .toArray(Object[][]::new);
    }

    // Guards against placement that sends as much to the slow endpoints as to the fast ones. A tenth of today's delay
    // is gained or, on days on which the true factors gain less than that, three quarters of what these gain.
    @Test(dataProvider = "differingDays")
    public void differingEndpointsGiveShorterDelaysThanWithoutLearning(Load load, Day day) {
        double learned = meanMillis(load, day, Choice.LEARNED);
        double known = meanMillis(load, day, Choice.KNOWN);
        double today = meanMillis(load, day, Choice.TODAY);
        double shortest = meanMillis(load, day, Choice.SHORTEST_QUEUE);
        String figures = String.format(
                "%s factors=%s episodes=%s mean millis learned=%.0f known=%.0f today=%.0f shortest=%.0f",
                load.policy, Arrays.toString(day.factors), day.hasEpisodes, learned, known, today, shortest);
        Reporter.log(figures, true);
        double mostMillis = known < 0.9 * today ? 0.9 * today : today - 0.75 * (today - known);
        Assert.assertTrue(learned < mostMillis, figures);
        Assert.assertTrue(learned < 0.9 * shortest, figures);
    }

    private static double meanMillis(Load load, Day day, Choice choice) {
        return IntStream.range(0, SEEDS)
                .mapToDouble(seed -> new Replay(load, day, choice, seed).delays.getAverage())
                .average()
                .orElseThrow();
    }

    // Guards against learning that takes noise, episodes or a common error of the estimates for slow endpoints.
    @Test(dataProvider = "equalDays")
    public void equalEndpointsKeepTheirPlacement(Load load, Day day) {
        Replay learned = new Replay(load, day, Choice.LEARNED, 5);
        Replay today = new Replay(load, day, Choice.TODAY, 5);
        double tolerance = 0.1 * Arrays.stream(today.placed).average().orElseThrow();
        for (int endpoint = 0; endpoint < INSTANCES.size(); endpoint++) {
            Assert.assertEquals(learned.placed[endpoint], today.placed[endpoint], tolerance, "placed");
        }
        Assert.assertEquals(
                learned.delays.getAverage() / today.delays.getAverage(), 1, 0.05, "delay relative to today's");
    }

    /** Guards against a speed that changes for good but is learned too late, and against a slow endpoint for ever. */
    @Test
    public void jumpIsLearnedInSecondsAndForgottenWithoutObservations() {
        EndpointSpeeds speeds = new EndpointSpeeds();
        Assert.assertEquals(observe(speeds, 0, 20_000, 1), 1.0);
        Assert.assertEquals(observe(speeds, 20_000, 20_600, 2.5), 1.0, "one episode");
        Assert.assertEquals(observe(speeds, 20_600, 25_000, 2.5), 2.5, 0.5, "a lasting change");
        Assert.assertEquals(speeds.slowdown("e-0@8"), 1.0, "another start of the endpoint");
        speeds.refresh(INSTANCES, 0, 90_000);
        Assert.assertEquals(speeds.slowdown("e-0@7"), 1.0, "after its age");
    }

    private static double observe(EndpointSpeeds speeds, long fromMillis, long toMillis, double firstFactor) {
        for (long millis = fromMillis; millis < toMillis; millis += 100) {
            for (int endpoint = 0; endpoint < 3; endpoint++) {
                double ratio = endpoint == 0 ? firstFactor : 1;
                speeds.record(INSTANCES.get(endpoint), "s", SpeedSample.CALL, ratio, millis);
            }
        }
        speeds.refresh(INSTANCES, 0, toMillis);
        return speeds.slowdown("e-0@7");
    }

    /**
     * Guards against many routers that learn nothing, since each sees one call of an endpoint in ten seconds, and against
     * routers that believe the outliers of the others. Load: one endpoint takes 1.7 times as long, all have episodes.
     */
    @Test
    public void routersWithFewObservationsLearnTogether() {
        Random random = new Random(3);
        Day day = new Day(true, 1.7, 1, 1, 1, 1, 1, 1, 1, 1);
        List<EndpointSpeeds> routers =
                IntStream.range(0, 24).mapToObj(number -> new EndpointSpeeds()).toList();
        for (long now = 0; now < 90_000; now += 1_000) {
            for (EndpointSpeeds speeds : routers) {
                for (int endpoint = 0; endpoint < INSTANCES.size(); endpoint++) {
                    if (random.nextDouble() < 0.1) {
                        double ratio =
                                day.factor(endpoint, now + random.nextInt(1_000)) * (0.8 + 0.4 * random.nextDouble());
                        speeds.record(INSTANCES.get(endpoint), "s", SpeedSample.CALL, ratio, now);
                    }
                }
                speeds.refresh(INSTANCES, 23, now);
            }
            for (EndpointSpeeds sender : now % 10_000 == 0 ? routers : List.<EndpointSpeeds>of()) {
                List<SharedSpeed> changes = sender.takeChanges(20, now);
                for (EndpointSpeeds receiver : routers) {
                    receiver.merge(
                            "router-" + routers.indexOf(sender), now, receiver == sender ? List.of() : changes, now);
                }
            }
        }
        for (EndpointSpeeds speeds : routers) {
            Assert.assertEquals(speeds.slowdown("e-0@7"), 1.7, 0.35, "slow endpoint");
            for (String instance : INSTANCES.subList(1, 9)) {
                Assert.assertEquals(speeds.slowdown(instance), 1.0, 0.2, instance);
            }
        }
    }

    /** Guards against routers that learn different things from the same reports, and against a router that has gone. */
    @Test
    public void reportsMergeInAnyOrderAndExpire() {
        int key = EndpointSpeeds.key("e-0@7");
        List<Integer> order = new ArrayList<>(List.of(0, 1, 2, 3, 3, 0));
        List<List<SharedSpeed>> reports = List.of(
                List.of(new SharedSpeed(key, 300, 20)),
                List.of(new SharedSpeed(key, 170, 20)),
                List.of(new SharedSpeed(key, 180, 10)),
                List.of(new SharedSpeed(key, Integer.MAX_VALUE, -1), new SharedSpeed(key, 0, 9)));
        for (int round = 0; round < 6; round++) {
            EndpointSpeeds speeds = new EndpointSpeeds();
            order.forEach(number ->
                    speeds.merge(number == 2 ? "router-b" : "router-a", 1 + number, reports.get(number), 1_000));
            speeds.refresh(INSTANCES, 2, 1_000);
            Assert.assertEquals(speeds.slowdown("e-0@7"), Math.exp(0.535), 0.05);
            speeds.refresh(INSTANCES, 2, 400_000);
            Assert.assertEquals(speeds.slowdown("e-0@7"), 1.0, "the reports have stopped");
            Collections.shuffle(order, new Random(round));
        }
    }

    /** Guards against old readings that count, and against episodes that are not seen. */
    @Test
    public void readingCountsOnlyWhileItIsFresh() {
        MomentarySpeed speed = new MomentarySpeed();
        speed.record(250, 10_000);
        Assert.assertEquals(speed.factor(10_000), 2.5, 0.1);
        Assert.assertEquals(speed.factor(10_600), 1.1, 0.05);
        Assert.assertEquals(speed.factor(11_100), 1.0);
        for (int number = 0; number < 100; number++) {
            speed.record(170, 20_000 + number * 100);
        }
        Assert.assertEquals(speed.factor(29_900), 1.0, 0.05, "usual for this endpoint");
    }

    @DataProvider
    public Object[][] attempts() {
        return new Object[][] {
            {"idle, slow", GENERATIONS, WorkTotals.NONE, 572, 2.0},
            {"slow only under load", GENERATIONS, new WorkTotals(5, 7_000, 10_000, 0), 1_346, 1.0},
            {"full engine", GENERATIONS, new WorkTotals(8, 0, 26_000, 26_000), 3_000, null},
            {"last free slot", CALLS, new WorkTotals(5, 0, 0, 0), 60, 1.0},
            {"full service", CALLS, new WorkTotals(6, 0, 0, 0), 300, null},
        };
    }

    // Guards against a slowdown of endpoints that are slow because of their load.
    @Test(dataProvider = "attempts")
    public void expectedDelayIsNoSlowdown(
            String name, Load load, WorkTotals work, long millis, @Nullable Double ratio) {
        OptionalDouble found = ExpectedDuration.of(load.policy, load.candidate(name, work, 3, 0), load.query)
                .ratioToUsual(millis);
        Assert.assertEquals(found.isPresent(), ratio != null);
        Assert.assertEquals(found.orElse(0), ratio == null ? 0 : ratio, 0.01);
    }

    /** Guards against a call that is refused by a full endpoint while a slow one has a free slot. */
    @Test
    public void freeSlotPrecedesFullEndpoint() {
        Candidate full = CALLS.candidate("full", new WorkTotals(6, 0, 0, 0), Slowdown.MINIMUM, 0);
        Candidate slow = CALLS.candidate("slow", new WorkTotals(5, 0, 0, 0), Slowdown.MAXIMUM, 0);
        Assert.assertEquals(
                CALLS.policy.choose(List.of(full, slow), CALLS.query).orElseThrow(), slow);
    }
}
