package org.redwinghook.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against a prompt part that crashes one endpoint after the other, and against sound requests that are refused
 * because they share a caller or a part with it.
 */
public class PromptQuarantineTest {

    private static final String CRASHING = "crashing";
    private static final String SHARED = "shared";
    private static final long TRANSMISSION_MILLIS = 30;
    private static final long ROUND_MILLIS = PromptQuarantine.TRIAL_GROUPS * PromptQuarantine.TRIAL_TURN_MILLIS;

    private PromptQuarantine quarantine = new PromptQuarantine("router-1");
    private int requests;

    @BeforeMethod
    public void start() {
        quarantine = new PromptQuarantine("router-1");
        requests = 0;
    }

    private SuspectRequest suspect(long sentAtMillis, String... parts) {
        requests++;
        return new SuspectRequest("request-" + requests, List.of(parts), sentAtMillis);
    }

    private QuarantineEvidence crash(String endpoint, long atMillis, long sentAtMillis, String... parts) {
        return quarantine.recordCrash(endpoint, suspect(sentAtMillis, parts), atMillis);
    }

    private boolean isRejected(PromptQuarantine judge, long nowMillis, String... parts) {
        requests++;
        return judge.admit("request-" + requests, List.of(parts), nowMillis).rejectedFor() != null;
    }

    private boolean isRejected(long nowMillis, String... parts) {
        return isRejected(quarantine, nowMillis, parts);
    }

    /** Engines crash one after the other on requests with a part, among sound requests of the same caller. */
    @Test
    public void partIsQuarantinedAfterASecondCrashAndSoundPartsAreNot() {
        quarantine.recordSuccess(List.of(SHARED, "caller-1"), 500);
        crash("engine-1", 1_000, 700, SHARED, CRASHING);
        crash("engine-1", 1_002, 600, "other", "caller-2");
        Assert.assertFalse(isRejected(1_100, SHARED, CRASHING));
        crash("engine-2", 2_000, 1_200, SHARED, CRASHING);
        crash("engine-2", 2_001, 1_300, SHARED, "caller-1");
        Assert.assertTrue(isRejected(2_010, SHARED, CRASHING));
        Assert.assertFalse(isRejected(2_010, SHARED, "caller-1"));
        Assert.assertFalse(isRejected(2_010, "other", "caller-2"));
    }

    /** The part is found at any position of the prompt. */
    @Test
    public void firstPartIsQuarantinedIfThePartsThatFollowDiffer() {
        crash("engine-1", 1_000, 700, CRASHING, "caller-1");
        crash("engine-2", 2_000, 1_200, CRASHING, "caller-2");
        Assert.assertTrue(isRejected(2_010, CRASHING, "caller-3"));
        Assert.assertFalse(isRejected(2_010, "caller-1"));
    }

    /** Further crashes of a part in quarantine, by requests sent before, are not attributed to the parts beside it. */
    @Test
    public void crashesThatAreExplainedDoNotCountAgainstOtherParts() {
        quarantine.recordSuccess(List.of(SHARED), 100);
        for (int engine = 1; engine <= 6; engine++) {
            crash("engine-" + engine, engine * 1_000L, engine * 1_000L - 300, SHARED, CRASHING);
        }
        Assert.assertTrue(isRejected(6_100, SHARED, CRASHING));
        Assert.assertFalse(isRejected(6_100, SHARED, "caller-1"));
    }

    @Test
    public void successBetweenCrashesClearsAPart() {
        crash("engine-1", 1_000, 700, "part");
        quarantine.recordSuccess(List.of("part"), 1_500);
        crash("engine-2", 2_000, 1_600, "part");
        Assert.assertFalse(isRejected(2_010, "part"));
    }

    /** Loss of a data centre: many endpoints at the same moment, with the requests of all callers. */
    @Test
    public void simultaneousCrashesCountOnce() {
        for (int engine = 0; engine < 8; engine++) {
            crash("engine-" + engine, 1_000 + engine, 800 + engine, SHARED, "caller-" + engine % 2);
        }
        Assert.assertFalse(isRejected(1_100, SHARED, "caller-1"));
        crash("engine-9", 4_000, 900, SHARED, "caller-1");
        Assert.assertFalse(isRejected(4_100, SHARED, "caller-1"));
    }

    /** Guards against a repeat within the millisecond of the crash before, which did not count. */
    @Test
    public void repeatInTheMillisecondOfTheCrashBeforeCounts() {
        SuspectRequest first = suspect(990, SHARED, CRASHING);
        quarantine.recordCrash("engine-1", first, 1_000);
        quarantine.recordCrash("engine-2", new SuspectRequest(first.requestId(), first.parts(), 1_000), 1_003);
        Assert.assertTrue(isRejected(1_010, CRASHING));
    }

    @Test
    public void anotherRequestInTheMillisecondOfACrashDoesNotCount() {
        crash("engine-1", 1_000, 990, SHARED, CRASHING);
        crash("engine-2", 1_003, 1_000, SHARED, CRASHING);
        Assert.assertFalse(isRejected(1_010, CRASHING));
    }

    /** An endpoint that resets single connections has not crashed. */
    @Test
    public void crashOfAnEndpointThatGoesOnIsRefuted() {
        crash("engine-1", 1_000, 700, "part");
        Assert.assertTrue(quarantine.recordResponse("engine-1", 900, 1_100).isEmpty());
        Assert.assertTrue(quarantine.recordResponse("engine-1", 1_200, 1_700).isEmpty());
        Assert.assertFalse(quarantine.recordResponse("engine-1", 900, 1_700).isEmpty());
        crash("engine-2", 2_000, 1_600, "part");
        Assert.assertFalse(isRejected(2_010, "part"));
    }

    /** An endpoint that reset a single connection crashes later. */
    @Test
    public void crashAfterARefutedOneCounts() {
        crash("engine-1", 1_000, 700, "part");
        QuarantineEvidence refutation = quarantine.recordResponse("engine-1", 900, 1_700);
        Assert.assertFalse(refutation.isEmpty());
        crash("engine-1", 30_000, 29_000, CRASHING);
        quarantine.merge(refutation, 30_010);
        crash("engine-2", 31_000, 30_500, CRASHING);
        Assert.assertTrue(isRejected(31_010, CRASHING));
    }

    /** A success between the reset of a single connection and the crash must not hide the crash. */
    @Test
    public void crashCountsFromItsOwnTimeAfterAnEarlierReset() {
        crash("engine-1", 1_000, 700, CRASHING);
        quarantine.recordSuccess(List.of(CRASHING), 10_000);
        for (int engine = 1; engine <= 3; engine++) {
            crash("engine-" + engine, 30_000 + engine * 1_000, 29_900 + engine * 1_000, CRASHING);
        }
        Assert.assertTrue(isRejected(33_010, CRASHING));
    }

    /** Reports of an earlier reset that arrive again must not replace the crash by turns. */
    @Test
    public void repeatedReportsOfAnEarlierResetChangeNothing() {
        QuarantineEvidence reports = crash("engine-1", 1_000, 700, "first")
                .plus(crash("engine-1", 2_500, 1_200, "second"))
                .plus(crash("engine-1", 3_500, 3_000, "third"));
        Assert.assertEquals(quarantine.evidence(4_000).crashes().get(0).atMillis(), 3_500);
        Assert.assertTrue(quarantine.merge(reports, 4_000).added().isEmpty());
    }

    /** One endpoint that resets many requests counts once. */
    @Test
    public void crashesOfOneEndpointCountOnce() {
        for (int request = 1; request < 20; request++) {
            crash("engine-1", request * 1_000L, request * 1_000L - 300, "part");
        }
        Assert.assertFalse(isRejected(20_000, "part"));
    }

    /** Each trial may crash an endpoint: 20 s, 1 min, 2 min, 5 min, 10 min, 21 min and 42 min after the first crashes. */
    @Test
    public void trialsBecomeRarer() {
        crash("engine-1", 1_000, 700, CRASHING);
        crash("engine-2", 2_000, 1_200, CRASHING);
        List<Long> trials = new ArrayList<>();
        for (long now = 2_010; now < 3_600_000; now += 50) {
            if (!isRejected(now, SHARED, CRASHING)) {
                trials.add(now);
                crash("engine-after-" + now, now + 20, now, SHARED, CRASHING);
            }
            if (now % 10_000 == 10) {
                quarantine.expire(now);
            }
        }
        Assert.assertEquals(trials.size(), 7, trials.toString());
        long pauseMillis = PromptQuarantine.FIRST_TRIAL_DELAY_MILLIS;
        long previous = 2_000;
        for (long trial : trials) {
            Assert.assertTrue(trial - previous >= pauseMillis, trials.toString());
            Assert.assertTrue(trial - previous <= pauseMillis + ROUND_MILLIS + 100, trials.toString());
            previous = trial;
            pauseMillis *= 2;
        }
        Assert.assertFalse(isRejected(3_600_000, SHARED));
    }

    /** A trial that ends without a verdict is not repeated at once. */
    @Test
    public void trialWithoutVerdictIsFollowedByAPause() {
        crash("engine-1", 1_000, 700, CRASHING);
        crash("engine-2", 2_000, 1_200, CRASHING);
        long trialMillis = beginTrial(quarantine, 22_000);
        Assert.assertTrue(isRejected(trialMillis + 1, CRASHING));
        Assert.assertTrue(isRejected(trialMillis + 39_000, CRASHING));
    }

    /** A trial that no endpoint has received says nothing about its part. */
    @Test
    public void trialWithoutASendDoesNotDoubleThePause() {
        crash("engine-1", 1_000, 700, CRASHING);
        crash("engine-2", 2_000, 1_200, CRASHING);
        PromptQuarantine other = new PromptQuarantine("router-2");
        long trialMillis = 2_000;
        for (int trial = 0; trial < 3; trial++) {
            String id = "trial-" + trial;
            trialMillis = beginTrial(quarantine, id, trialMillis + PromptQuarantine.FIRST_TRIAL_DELAY_MILLIS);
            QuarantineEvidence announced = quarantine.evidence(trialMillis);
            QuarantineEvidence unused = quarantine.recordUnusedTrial(id, List.of(SHARED, CRASHING), trialMillis);
            other.merge(unused, trialMillis);
            other.merge(announced, trialMillis);
            for (PromptQuarantine router : List.of(quarantine, other)) {
                QuarantinedPart part = router.quarantinedParts().iterator().next();
                Assert.assertEquals(part.trials(), 0);
                Assert.assertEquals(part.nextTrialMillis(), trialMillis + PromptQuarantine.FIRST_TRIAL_DELAY_MILLIS);
            }
        }
        Assert.assertTrue(quarantine
                .recordUnusedTrial("other", List.of(CRASHING), trialMillis)
                .isEmpty());
    }

    /** Two routers begin a trial before either has heard of the other's. */
    @Test
    public void fewRoutersMayBeginATrialAtTheSameTime() {
        crash("engine-1", 1_000, 700, CRASHING);
        crash("engine-2", 2_000, 1_200, CRASHING);
        for (long now = 22_000; now < 22_000 + ROUND_MILLIS; now += 125) {
            int admitted = 0;
            for (int number = 0; number < 64; number++) {
                PromptQuarantine router = new PromptQuarantine("router-" + number);
                router.merge(quarantine.evidence(2_000), 2_000);
                if (!isRejected(router, now, CRASHING)) {
                    admitted++;
                }
            }
            Assert.assertTrue(admitted <= 64 / 4, admitted + " at " + now);
        }
    }

    /** Few requests with the part arrive, each at another router than the one whose turn it is. */
    @Test
    public void anyRouterBeginsTheTrialAfterARoundWithoutOne() {
        crash("engine-1", 1_000, 700, CRASHING);
        crash("engine-2", 2_000, 1_200, CRASHING);
        long roundEndMillis = 2_000 + PromptQuarantine.FIRST_TRIAL_DELAY_MILLIS + ROUND_MILLIS;
        for (int number = 0; number < 64; number++) {
            PromptQuarantine router = new PromptQuarantine("router-" + number);
            router.merge(quarantine.evidence(2_000), 2_000);
            PromptAdmission early = router.admit("early", List.of(CRASHING), 2_010);
            Assert.assertTrue(2_010 + early.retryAfterMillis() <= roundEndMillis);
            Assert.assertFalse(isRejected(router, roundEndMillis + number * 100, CRASHING));
        }
    }

    private static long beginTrial(PromptQuarantine router, long fromMillis) {
        return beginTrial(router, "trial", fromMillis);
    }

    private static long beginTrial(PromptQuarantine router, String requestId, long fromMillis) {
        for (long now = fromMillis; now < fromMillis + 2 * ROUND_MILLIS; now += 10) {
            if (!router.admit(requestId, List.of(CRASHING), now).trials().isEmpty()) {
                return now;
            }
        }
        throw new AssertionError("no trial");
    }

    @Test
    public void retryAfterIsTheTimeUntilTheNextTrial() {
        crash("engine-1", 1_000, 700, CRASHING);
        crash("engine-2", 2_000, 1_200, CRASHING);
        PromptAdmission rejected = quarantine.admit("request", List.of(CRASHING), 12_000);
        Assert.assertEquals(
                quarantine
                        .admit("request", List.of(CRASHING), 12_000 + rejected.retryAfterMillis())
                        .trials()
                        .size(),
                1);
    }

    @Test
    public void successfulTrialReleasesThePartOnAllRouters() {
        PromptQuarantine other = new PromptQuarantine("router-2");
        other.merge(crash("engine-1", 1_000, 700, CRASHING), 1_030);
        other.merge(crash("engine-2", 2_000, 1_200, CRASHING), 2_030);
        Assert.assertTrue(isRejected(other, 2_040, CRASHING));
        long trialMillis = beginTrial(quarantine, 22_000);
        other.merge(quarantine.evidence(trialMillis), trialMillis + TRANSMISSION_MILLIS);
        for (long now = trialMillis + TRANSMISSION_MILLIS; now < trialMillis + 2 * ROUND_MILLIS; now += 50) {
            Assert.assertTrue(isRejected(other, now, CRASHING));
        }
        other.merge(quarantine.recordSuccess(List.of(CRASHING), 34_000), 34_030);
        Assert.assertFalse(isRejected(other, 34_040, CRASHING));
        Assert.assertFalse(isRejected(34_040, CRASHING));
    }

    @Test
    public void evidenceIsForgotten() {
        crash("engine-1", 1_000, 700, "part");
        quarantine.expire(1_000 + PromptQuarantine.MEMORY_MILLIS);
        Assert.assertTrue(quarantine.hasCrashes());
        quarantine.expire(1_001 + PromptQuarantine.MEMORY_MILLIS);
        Assert.assertFalse(quarantine.hasCrashes());
    }

    @Test
    public void quarantineIsForgottenWhenItsTrialIsLongOverdue() {
        crash("engine-1", 1_000, 700, CRASHING);
        crash("engine-2", 2_000, 1_200, CRASHING);
        long trialMillis = 2_000 + PromptQuarantine.FIRST_TRIAL_DELAY_MILLIS;
        quarantine.expire(trialMillis + PromptQuarantine.MEMORY_MILLIS - 1);
        Assert.assertEquals(quarantine.quarantinedParts().size(), 1);
        quarantine.expire(trialMillis + PromptQuarantine.MEMORY_MILLIS + 1);
        Assert.assertTrue(quarantine.quarantinedParts().isEmpty());
        Assert.assertFalse(quarantine.hasCrashes());
    }

    /** A data centre with 100 engines is lost in a large deployment; the routers' reports must not occupy a processor. */
    @Test(timeOut = 10_000)
    public void lossOfALargeDataCentreIsMergedQuickly() {
        for (int router = 0; router < 27; router++) {
            for (int engine = 0; engine < 100; engine++) {
                crash("engine-" + engine, 1_000 + engine, 700, "shared-" + engine % 40, "caller-" + router * engine);
            }
        }
        Assert.assertTrue(quarantine.quarantinedParts().isEmpty());
    }

    /** Guards against a part that is never judged because of its place, its name, or what comes with it. */
    public static class Limits {

        private PromptQuarantine quarantine = new PromptQuarantine("router-1");

        @BeforeMethod
        public void start() {
            quarantine = new PromptQuarantine("router-1");
        }

        /** A prompt with a number of sound parts and another part at a place. */
        private static List<String> prompt(int soundParts, int place, String other) {
            List<String> identifiers = new ArrayList<>();
            IntStream.range(0, soundParts).forEach(number -> identifiers.add("sound-" + number));
            identifiers.add(place, other);
            identifiers.add("last");
            return PromptParts.shared(identifiers);
        }

        private void crash(String engine, long atMillis, String requestId, List<String> parts) {
            quarantine.recordCrash(engine, new SuspectRequest(requestId, parts, atMillis - 100), atMillis);
        }

        private boolean isRejected(List<String> parts) {
            return quarantine.admit("next", parts, 10_000).rejectedFor() != null;
        }

        @DataProvider
        public Object[][] places() {
            return new Object[][] {{0}, {31}, {32}, {35}, {1_000}};
        }

        @Test(dataProvider = "places")
        public void partIsFoundAtAnyPlace(int place) {
            for (int number = 1; number <= 5; number++) {
                crash("engine-" + number, number * 1_000, "r-" + number, prompt(1_000, place, CRASHING));
                quarantine.recordSuccess(prompt(1_000, place, "sound"), number * 1_000 + 500);
            }
            Assert.assertTrue(isRejected(prompt(3, 1, CRASHING)));
            Assert.assertFalse(isRejected(prompt(1_000, place, "sound")));
        }

        @Test
        public void longNamesAreJudged() {
            String name = "a".repeat(500);
            crash(name, 1_000, name, prompt(1, 1, name));
            crash(name + "b", 2_000, name + "b", prompt(1, 1, name));
            Assert.assertTrue(isRejected(prompt(1, 1, name)));
            Assert.assertFalse(isRejected(prompt(1, 1, name + "a")));
        }

        /** Successes of other prompts say nothing about the parts that are judged together. */
        @Test
        public void partsBeyondTheLimitAreRejectedTogether() {
            for (int number = 1; number <= 2; number++) {
                crash("engine-" + number, number * 1_000, "r-" + number, prompt(1_500, 1_400, CRASHING));
                quarantine.recordSuccess(prompt(1_500, 1_400, "sound"), number * 1_000 + 500);
            }
            Assert.assertTrue(isRejected(prompt(1_500, 1_400, CRASHING)));
            Assert.assertFalse(isRejected(prompt(1_000, 500, "sound")));
        }

        @Test
        public void partInQuarantineIsFoundBeyondTheLimit() {
            crash("engine-1", 1_000, "r-1", prompt(1, 1, CRASHING));
            crash("engine-2", 2_000, "r-2", prompt(1, 1, CRASHING));
            Assert.assertTrue(isRejected(prompt(1_500, 1_400, CRASHING)));
            Assert.assertFalse(isRejected(prompt(1_500, 1_400, "sound")));
        }

        @Test
        public void suspectAfterManyOthersCounts() {
            for (int engine = 1; engine <= 2; engine++) {
                for (int number = 0; number < 900; number++) {
                    crash("engine-" + engine, engine * 1_000, engine + "-" + number, List.of("p-" + engine + number));
                }
                crash("engine-" + engine, engine * 1_000, "r-" + engine, prompt(1, 1, CRASHING));
            }
            Assert.assertTrue(isRejected(prompt(1, 1, CRASHING)));
        }

        /** Evidence about prompts with many parts must neither fill the memory nor exceed the limit of a message. */
        @Test
        public void evidenceIsLimitedInParts() {
            for (int engine = 0; engine < 10; engine++) {
                for (int number = 0; number < 40; number++) {
                    List<String> parts = prompt(1_200, 0, engine + "-" + number);
                    crash("engine-" + engine, engine * 1_000, engine + "-" + number, parts);
                }
            }
            QuarantineEvidence evidence = quarantine.evidence(10_000);
            int parts = 0;
            for (QuarantineEvidence piece : evidence.split()) {
                int inPiece = piece.crashes().stream()
                        .mapToInt(EndpointCrash::partCount)
                        .sum();
                Assert.assertTrue(inPiece <= 8_192, inPiece + " parts in a piece");
                parts += inPiece;
            }
            Assert.assertTrue(parts > 0 && parts <= CrashHistory.MAXIMUM_PARTS, parts + " parts");
        }
    }

    /** Exchange between routers. */
    public static class Exchange {

        /** Each router sees other requests at the endpoints that crash. */
        @Test
        public void routersThatSawOneCrashEachQuarantineThePart() {
            PromptQuarantine first = new PromptQuarantine("router-1");
            PromptQuarantine second = new PromptQuarantine("router-2");
            second.merge(first.recordCrash("engine-1", request("a", 700, SHARED, CRASHING), 1_000), 1_030);
            first.merge(second.recordCrash("engine-2", request("b", 1_700, SHARED, CRASHING), 2_000), 2_030);
            Assert.assertEquals(first.quarantinedParts().size(), 1);
            Assert.assertEquals(second.quarantinedParts().size(), 1);
        }

        /** Only another router has served requests with the shared part. */
        @Test
        public void routerThatKnowsASuccessSaysSo() {
            PromptQuarantine first = new PromptQuarantine("router-1");
            PromptQuarantine second = new PromptQuarantine("router-2");
            second.recordSuccess(List.of(SHARED), 500);
            for (int crash = 1; crash <= 2; crash++) {
                QuarantineEvidence evidence = first.recordCrash(
                        "engine-" + crash,
                        request("r-" + crash, crash * 1_000 - 200, SHARED, "caller-" + crash),
                        crash * 1_000);
                first.merge(
                        second.merge(evidence, crash * 1_000 + TRANSMISSION_MILLIS)
                                .reply(),
                        crash * 1_000 + 60);
            }
            Assert.assertTrue(first.quarantinedParts().isEmpty());
            Assert.assertTrue(second.quarantinedParts().isEmpty());
        }

        @Test
        public void duplicatesAndReorderingDoNotMatter() {
            PromptQuarantine source = new PromptQuarantine("router-1");
            List<QuarantineEvidence> evidence = new ArrayList<>();
            for (int crash = 1; crash <= 3; crash++) {
                for (int request = 0; request < 3; request++) {
                    evidence.add(source.recordCrash(
                            "engine-" + crash,
                            request(crash + "-" + request, crash * 1_000 - 300, CRASHING, "caller-" + crash + request),
                            crash * 1_000 + request));
                }
            }
            evidence.add(source.recordSuccess(List.of("caller-10", "caller-11"), 3_500));
            evidence.addAll(List.copyOf(evidence));
            for (int seed = 0; seed < 50; seed++) {
                Collections.shuffle(evidence, new Random(seed));
                PromptQuarantine copy = new PromptQuarantine("router-2");
                evidence.forEach(item -> copy.merge(item, 4_000));
                Assert.assertEquals(
                        List.copyOf(copy.quarantinedParts()), List.copyOf(source.quarantinedParts()), "seed " + seed);
            }
        }

        @Test
        public void routerThatConnectsLaterLearnsAll() {
            PromptQuarantine source = new PromptQuarantine("router-1");
            source.recordCrash("engine-1", request("a", 700, CRASHING), 1_000);
            source.recordCrash("engine-2", request("b", 1_700, CRASHING), 2_000);
            beginTrial(source, 22_000);
            PromptQuarantine late = new PromptQuarantine("router-2");
            late.merge(source.evidence(27_500), 27_500);
            Assert.assertEquals(List.copyOf(late.quarantinedParts()), List.copyOf(source.quarantinedParts()));
        }

        /** Relays take time, so times shift; evidence that circulates between routers has to come to rest. */
        @Test
        public void relayedEvidenceComesToRest() {
            PromptQuarantine first = new PromptQuarantine("router-1");
            PromptQuarantine second = new PromptQuarantine("router-2");
            first.recordSuccess(List.of(SHARED), 100);
            QuarantineEvidence circulating = first.recordCrash("engine-1", request("a", 700, SHARED, "x"), 1_000)
                    .plus(first.recordSuccess(List.of(SHARED), 1_500));
            long now = 1_500;
            int relays = 0;
            while (!circulating.isEmpty() && relays < 10) {
                now += TRANSMISSION_MILLIS;
                circulating = (relays % 2 == 0 ? second : first)
                        .merge(circulating.shiftedBy(TRANSMISSION_MILLIS), now)
                        .added();
                relays++;
            }
            Assert.assertTrue(relays <= 2, "relays " + relays);
        }

        /** A damaged report of a request that was sent after its crash. */
        @Test
        public void requestCountsAsSentNotAfterItsCrash() {
            PromptQuarantine quarantine = new PromptQuarantine("router-1");
            for (int engine = 1; engine <= 2; engine++) {
                EndpointCrash crash =
                        new EndpointCrash("engine-" + engine, 1_000, List.of(request("r", 5_000, CRASHING)), false);
                quarantine.merge(new QuarantineEvidence(List.of(crash), List.of(), List.of()), 6_000);
            }
            Assert.assertTrue(quarantine.quarantinedParts().isEmpty());
        }

        /** Damaged messages must not fill the memory. */
        @Test
        public void memoryIsBounded() {
            PromptQuarantine quarantine = new PromptQuarantine("router-1");
            List<SuspectRequest> many = IntStream.range(0, 200)
                    .mapToObj(number -> request("r-" + number, 0, "part-" + number))
                    .toList();
            for (int number = 0; number < 270; number++) {
                quarantine.merge(
                        new QuarantineEvidence(
                                List.of(new EndpointCrash("engine-" + number, number, many, false)),
                                List.of(new PartSuccess("other-" + number, number)),
                                List.of(new PartTrial("part", "trial-" + number, number, false))),
                        1_000);
            }
            String longId = "x".repeat(PromptParts.MAXIMUM_NAME_LENGTH + 1);
            quarantine.merge(
                    new QuarantineEvidence(
                            List.of(
                                    new EndpointCrash(longId, 0, many, false),
                                    new EndpointCrash("engine", 900, List.of(request("r", 0, longId)), false)),
                            List.of(new PartSuccess(longId, 0)),
                            List.of(new PartTrial(longId, "r", 0, false))),
                    1_000);
            QuarantineEvidence evidence = quarantine.evidence(1_000);
            Assert.assertTrue(evidence.crashes().size() <= CrashHistory.MAXIMUM_CRASHES);
            Assert.assertTrue(evidence.trials().size() <= PromptQuarantine.MAXIMUM_TRIALS);
            for (EndpointCrash crash : evidence.crashes()) {
                Assert.assertNotEquals(crash.endpoint(), longId);
                Assert.assertTrue(crash.suspects().size() <= CrashHistory.MAXIMUM_SUSPECTS);
            }
        }

        /** A flood of other crashes must not release a part. */
        @Test
        public void crashesOfAQuarantinedPartAreForgottenLast() {
            PromptQuarantine quarantine = new PromptQuarantine("router-1");
            quarantine.recordCrash("engine-1", request("a", 700, CRASHING), 1_000);
            quarantine.recordCrash("engine-2", request("b", 1_700, CRASHING), 2_000);
            for (int number = 0; number < 400; number++) {
                quarantine.recordCrash("lost-" + number, request("r-" + number, 900, "part-" + number), 3_000);
            }
            Assert.assertEquals(quarantine.quarantinedParts().size(), 1);
        }

        private static SuspectRequest request(String id, long sentAtMillis, String... parts) {
            return new SuspectRequest(id, List.of(parts), sentAtMillis);
        }
    }

    /** Guards against an event loop that is busy for seconds with the evidence of a few crashes. */
    public static class ManyParts {

        private static final int REQUESTS = 64;
        private static final int PARTS = 300;
        private static final int ENGINES = 4;
        private static final String CRASHING = "crashing";

        /** Half a second later, an overdue request has to be answered. */
        private static final long LONGEST_MILLIS = 500;

        private static List<String> parts(int request) {
            List<String> parts = new ArrayList<>();
            parts.add(CRASHING);
            for (int part = 0; part < PARTS; part++) {
                parts.add("part-" + request + "-" + part);
            }
            return parts;
        }

        /** Replays engines that crash one after the other; their requests are repeated at the next one at once. */
        @Test
        public void evidenceOfManyRequestsIsMergedWithoutALongPause() {
            PromptQuarantine quarantine = new PromptQuarantine("router-1");
            long longestMillis = 0;
            for (int engine = 1; engine <= ENGINES; engine++) {
                long atMillis = engine * 1_000;
                long startNanos = System.nanoTime();
                for (int request = 0; request < REQUESTS; request++) {
                    List<String> own = parts(request).subList(1, PARTS);
                    quarantine.recordCrash(
                            "engine-" + engine,
                            new SuspectRequest("request-" + request, own, atMillis - 1_000),
                            atMillis);
                    quarantine.admit("other-" + request, own, atMillis);
                }
                longestMillis = Math.max(longestMillis, (System.nanoTime() - startNanos) / 1_000_000);
            }
            Assert.assertTrue(longestMillis < LONGEST_MILLIS, "the evidence of a crash takes " + longestMillis + " ms");
        }

        /** The part that all requests share is found although the evidence is judged only now and then. */
        @Test
        public void crashingPartIsFoundWithinTheInterval() {
            PromptQuarantine quarantine = new PromptQuarantine("router-1");
            for (int engine = 1; engine <= 2; engine++) {
                for (int request = 0; request < REQUESTS; request++) {
                    long atMillis = engine * 1_000;
                    int own = engine * REQUESTS + request;
                    quarantine.recordCrash(
                            "engine-" + engine,
                            new SuspectRequest("request-" + own, parts(own), atMillis - 200),
                            atMillis);
                }
            }
            long nowMillis = 2_000 + PromptQuarantine.JUDGEMENT_INTERVAL_MILLIS;
            Assert.assertNotNull(quarantine
                    .admit("next", List.of("sound", CRASHING), nowMillis)
                    .rejectedFor());
            Assert.assertNull(
                    quarantine.admit("sound", List.of("sound"), nowMillis).rejectedFor());
        }
    }
}
