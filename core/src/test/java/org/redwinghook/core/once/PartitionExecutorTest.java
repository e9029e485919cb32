package org.redwinghook.core.once;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.redwinghook.core.message.KeyStage;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a key that runs twice and against refusals "not run" that are or become false. */
public class PartitionExecutorTest {

    private static final long WINDOW_MILLIS = 1_000_000;
    private static final OperationKey KEY = new OperationKey("yoga", "order-1");

    private static Claim claim(long number, long deadlineMillis) {
        return new Claim(number, KEY, "hash", deadlineMillis);
    }

    private static PartitionExecutor executor(String process) {
        return new PartitionExecutor(new ExecutorIdentity(process, 1));
    }

    private static List<Verdict> apply(PartitionExecutor executor, IntentBatch batch, long nowMillis) {
        return executor.apply(batch, 9, 1, WINDOW_MILLIS, nowMillis);
    }

    /** Single failures, one at a time. */
    public static class SingleFailures {

        /** Guards against an intent that runs after its caller received "not run", and against a key blocked by it. */
        @Test
        public void lateAppendIsReleasedAndNeverRun() {
            PartitionExecutor executor = executor("a");
            executor.offer(claim(1, 100), 0, WINDOW_MILLIS);
            IntentBatch late = executor.nextBatch().orElseThrow();
            executor.abandonAppend();
            Assert.assertEquals(executor.expireClaims(100), List.of(new Verdict.NotRun(1, NotRunCause.DEADLINE)));
            Assert.assertEquals(apply(executor, late, 101), List.of());
            Assert.assertEquals(executor.report(KEY, 1).stage(), KeyStage.NOT_RUN);
            executor.offer(claim(2, 500), 1, WINDOW_MILLIS);
            IntentBatch release = executor.nextBatch().orElseThrow();
            Assert.assertEquals(release.outcomes().get(0).kind(), OutcomeKind.NOT_RUN);
            Assert.assertEquals(apply(executor, release, 102), List.of(new Verdict.Run(2, 2)));
        }

        /**
         * Guards against a winner that was paused after the append and runs the call for a caller that no longer waits.
         */
        @Test
        public void pausedWinnerChecksTheDeadlineAgain() {
            PartitionExecutor executor = executor("a");
            executor.offer(claim(1, 100), 0, WINDOW_MILLIS);
            IntentBatch batch = executor.nextBatch().orElseThrow();
            Assert.assertEquals(apply(executor, batch, 15_000), List.of(new Verdict.NotRun(1, NotRunCause.DEADLINE)));
            Assert.assertEquals(
                    executor.nextBatch().orElseThrow().outcomes().get(0).kind(), OutcomeKind.NOT_RUN);
        }

        /**
         * Guards against a second run when the winner is paused in its call: others must ask it and must not run the
         * call.
         */
        @Test
        public void loserAsksTheWinner() {
            PartitionExecutor first = executor("a");
            PartitionExecutor second = executor("b");
            first.offer(claim(1, 100), 0, WINDOW_MILLIS);
            second.offer(claim(7, 100), 0, WINDOW_MILLIS);
            IntentBatch winning = first.nextBatch().orElseThrow();
            IntentBatch losing = second.nextBatch().orElseThrow();
            apply(second, winning, 1);
            Assert.assertEquals(apply(second, losing, 2), List.of(new Verdict.Ask(7, new ExecutorIdentity("a", 1), 1)));
            Assert.assertEquals(apply(first, winning, 3), List.of(new Verdict.Run(1, 1)));
            Assert.assertEquals(first.report(KEY, 1).stage(), KeyStage.RUNNING);
        }

        /** Guards against a restarted sidecar that runs a call that its previous incarnation may have run. */
        @Test
        public void restartedExecutorDoesNotTakeOverItsPredecessorsKey() {
            PartitionExecutor before = executor("a");
            before.offer(claim(1, 100), 0, WINDOW_MILLIS);
            IntentBatch intent = before.nextBatch().orElseThrow();
            PartitionExecutor after = new PartitionExecutor(new ExecutorIdentity("a", 2));
            after.offer(claim(1, 100), 0, WINDOW_MILLIS);
            IntentBatch retry = after.nextBatch().orElseThrow();
            apply(after, intent, 1);
            Assert.assertEquals(apply(after, retry, 2), List.of(new Verdict.Ask(1, new ExecutorIdentity("a", 1), 1)));
        }

        /** Guards against claims that wait for ever, or run later, when the log is down. */
        @Test
        public void claimsAreRefusedWhenTheLogIsDown() {
            PartitionExecutor executor = executor("a");
            executor.offer(claim(1, 100), 0, WINDOW_MILLIS);
            IntentBatch lost = executor.nextBatch().orElseThrow();
            executor.abandonAppend();
            Assert.assertEquals(
                    executor.failPendingClaims(), List.of(new Verdict.NotRun(1, NotRunCause.LOG_UNAVAILABLE)));
            Assert.assertEquals(apply(executor, lost, 50), List.of());
        }

        /** Guards against an outcome that is lost with its append's answer. */
        @Test
        public void outcomeIsAppendedAgainUntilItIsReadBack() {
            PartitionExecutor executor = executor("a");
            executor.offer(claim(1, 100), 0, WINDOW_MILLIS);
            apply(executor, executor.nextBatch().orElseThrow(), 1);
            StoredAnswer answer = new StoredAnswer(200, null, new byte[] {1});
            Assert.assertEquals(
                    executor.completeAttempt(1, OutcomeKind.DONE, answer),
                    List.of(new Verdict.Answered(1, answer, false)));
            executor.nextBatch().orElseThrow();
            executor.abandonAppend();
            apply(executor, executor.nextBatch().orElseThrow(), 2);
            Assert.assertFalse(executor.hasPendingAppends());
            Assert.assertEquals(
                    executor.offer(claim(2, 100), 1, WINDOW_MILLIS), List.of(new Verdict.Replay(2, KEY, 9)));
        }

        /** Guards against the answer of one request given to another that reuses its key. */
        @Test
        public void differentRequestUnderTheSameKeyIsAConflict() {
            PartitionExecutor executor = executor("a");
            executor.offer(claim(1, 100), 0, WINDOW_MILLIS);
            Claim other = new Claim(2, KEY, "other", 100);
            Assert.assertEquals(executor.offer(other, 0, WINDOW_MILLIS), List.of(new Verdict.Conflict(2)));
            apply(executor, executor.nextBatch().orElseThrow(), 1);
            Assert.assertEquals(executor.offer(other, 0, WINDOW_MILLIS), List.of(new Verdict.Conflict(2)));
        }

        /** Guards against "not run" for one claim while another claim of the same key still leads to the run. */
        @Test
        public void expiredJoinedClaimIsNotReportedAsNotRun() {
            PartitionExecutor executor = executor("a");
            executor.offer(claim(1, 10), 0, WINDOW_MILLIS);
            executor.offer(claim(2, 100), 0, WINDOW_MILLIS);
            Assert.assertTrue(executor.expireClaims(10).get(0) instanceof Verdict.Unknown);
            Assert.assertEquals(
                    apply(executor, executor.nextBatch().orElseThrow(), 11), List.of(new Verdict.Run(2, 1)));
        }
    }

    /** Rules of the fold and of batching. */
    public static class Rules {

        private static IntentBatch intent(String process, long number) {
            return new IntentBatch(
                    new ExecutorIdentity(process, 1), number, List.of(), List.of(new Intent(number, KEY, "hash")));
        }

        /** Guards against two readers that remove a key at different records and let it run twice in the window. */
        @Test
        public void lateReaderNeverFreesAKeyThatAnEarlyReaderHolds() {
            PartitionFold early = new PartitionFold();
            PartitionFold late = new PartitionFold();
            early.apply(intent("a", 1), 1, 79, 10);
            for (PartitionFold fold : List.of(early, late)) {
                fold.apply(intent("b", 2), 1, 85, 10);
                fold.apply(intent("c", 3), 1, 92, 10);
            }
            Assert.assertEquals(early.apply(intent("d", 4), 1, 100, 10), late.apply(intent("d", 4), 1, 100, 10));
            Assert.assertEquals(late.apply(intent("d", 5), 1, 111, 10), Set.of(5L));
        }

        /** Guards against an outcome of a losing executor that frees or ends the winner's key. */
        @Test
        public void outcomeOfALoserHasNoEffect() {
            PartitionFold fold = new PartitionFold();
            fold.apply(intent("a", 1), 1, 1, 10);
            Outcome outcome = new Outcome(1, KEY, OutcomeKind.NOT_RUN, null);
            fold.apply(new IntentBatch(new ExecutorIdentity("b", 1), 1, List.of(outcome), List.of()), 2, 2, 10);
            Assert.assertTrue(fold.find(KEY).isPresent());
        }

        /** Guards against a caller's timeout beyond the window, after which others have removed the key. */
        @Test
        public void startIsLimitedToHalfAWindow() {
            Assert.assertEquals(Claim.latestStart(50, 10, 100), 50);
            Assert.assertEquals(Claim.latestStart(500, 10, 100), 60);
        }

        /** Guards against more appends than the log sustains. */
        @Test
        public void intervalGrowsWithTheExecutors() {
            Assert.assertEquals(BatchInterval.millis(1, 1), 5);
            Assert.assertEquals(BatchInterval.millis(3, 2), 30);
            Assert.assertEquals(BatchInterval.millis(100, 1), 500);
        }

        /** Guards against old time-ordered keys that are treated as new requests. */
        @Test
        public void timeOfAVersionSevenKeyIsKnown() {
            OperationKey key = new OperationKey("yoga", "017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
            Assert.assertEquals(key.createdAtMillis().orElseThrow(), 0x017F22E279B0L);
            Assert.assertTrue(KEY.createdAtMillis().isEmpty());
        }
    }

    /** Seeded interleavings of three executors, a log that loses and delays appends, and restarts. */
    public static class Interleavings {

        private static final int SEEDS = 600;
        private static final int STEPS = 300;
        private static final int KEYS = 3;
        private static final int EXECUTORS = 3;
        private static final long SHORT_WINDOW_MILLIS = 80;

        @Test
        public void noKeyRunsTwiceAndNoRefusalIsFalse() {
            explore(WINDOW_MILLIS);
        }

        /** Guards against readers that start at a later record of a trimmed log and remove keys too early. */
        @Test
        public void noKeyRunsTwiceInAShortWindowOfATrimmedLog() {
            explore(SHORT_WINDOW_MILLIS);
        }

        private static void explore(long windowMillis) {
            int runs = 0;
            int refusals = 0;
            for (int seed = 0; seed < SEEDS; seed++) {
                Simulation simulation = new Simulation(seed, windowMillis);
                for (int step = 0; step < STEPS; step++) {
                    simulation.step();
                }
                simulation.runToQuiescence();
                runs += simulation.runs;
                refusals += simulation.refusals;
            }
            // Both must occur often, since otherwise the invariants of the simulation are hardly tested.
            Assert.assertTrue(runs > SEEDS, "runs: " + runs);
            Assert.assertTrue(refusals > SEEDS, "refusals: " + refusals);
        }

        private static final class Simulation {

            private final int seed;
            private final long windowMillis;
            private final Random random;
            private final List<LogEntry> log = new ArrayList<>();
            private final List<IntentBatch> delayed = new ArrayList<>();
            private final SimulatedSidecar[] sidecars = new SimulatedSidecar[EXECUTORS];
            private final Map<OperationKey, LastRun> lastRuns = new HashMap<>();
            private long nowMillis;
            private long lastNumber;
            private int runs;
            private int refusals;

            Simulation(int seed, long windowMillis) {
                this.seed = seed;
                this.windowMillis = windowMillis;
                this.random = new Random(seed);
                for (int index = 0; index < EXECUTORS; index++) {
                    sidecars[index] = new SimulatedSidecar(new ExecutorIdentity("s" + index, 1));
                }
            }

            void step() {
                nowMillis += random.nextInt(5);
                int index = random.nextInt(EXECUTORS);
                SimulatedSidecar sidecar = sidecars[index];
                switch (random.nextInt(12)) {
                    case 0, 1 -> sidecar.offer();
                    case 2, 3 -> sidecar.append();
                    case 4, 5, 6, 7 -> sidecar.read();
                    case 8 -> sidecar.finish();
                    case 9 -> sidecar.recordVerdicts(sidecar.executor.expireClaims(nowMillis));
                    case 10 -> appendDelayed();
                    default -> injectRareFault(index, sidecar);
                }
            }

            void runToQuiescence() {
                while (!delayed.isEmpty()) {
                    appendDelayed();
                }
                // A permanently lost append is detected only by the callers' deadlines.
                nowMillis += 1_000;
                for (int round = 0; round < 10; round++) {
                    for (SimulatedSidecar sidecar : sidecars) {
                        sidecar.recordVerdicts(sidecar.executor.expireClaims(nowMillis));
                        sidecar.executor.abandonAppend();
                        sidecar.executor.nextBatch().ifPresent(this::append);
                        while (sidecar.position < log.size()) {
                            sidecar.read();
                        }
                        while (!sidecar.running.isEmpty()) {
                            sidecar.finish();
                        }
                    }
                }
                for (SimulatedSidecar sidecar : sidecars) {
                    Assert.assertFalse(sidecar.executor.hasPendingAppends(), "seed " + seed);
                    Assert.assertEquals(sidecar.executor.pendingIntents(), 0, "seed " + seed);
                }
            }

            private void injectRareFault(int index, SimulatedSidecar sidecar) {
                if (random.nextBoolean()) {
                    sidecar.recordVerdicts(sidecar.executor.failPendingClaims());
                    sidecar.executor.abandonAppend();
                } else if (random.nextInt(4) == 0) {
                    // A killed process: calls that it had started count as run.
                    sidecars[index] =
                            new SimulatedSidecar(new ExecutorIdentity(sidecar.identity.process(), lastNumber + 1_000));
                }
            }

            private void appendDelayed() {
                if (!delayed.isEmpty()) {
                    append(delayed.remove(random.nextInt(delayed.size())));
                }
            }

            private void append(IntentBatch batch) {
                log.add(new LogEntry(batch, nowMillis));
            }

            /** First record that a log with a retention of two windows still keeps. */
            private int firstRetained() {
                int first = 0;
                while (first < log.size() && log.get(first).timeMillis() < nowMillis - 2 * windowMillis) {
                    first++;
                }
                return first;
            }

            private record LogEntry(IntentBatch batch, long timeMillis) {}

            private record LastRun(ExecutorIdentity executor, long attempt, long intentMillis) {}

            private final class SimulatedSidecar {

                private final ExecutorIdentity identity;
                private final PartitionExecutor executor;
                private final Map<Long, OperationKey> keys = new HashMap<>();
                private final Map<Long, OperationKey> running = new HashMap<>();
                private final Set<Long> refusedNumbers = new HashSet<>();
                private final Set<Long> calledNumbers = new HashSet<>();
                private int position;
                private long readMillis;

                SimulatedSidecar(ExecutorIdentity identity) {
                    this.identity = identity;
                    this.executor = new PartitionExecutor(identity);
                    this.position = firstRetained();
                }

                void offer() {
                    lastNumber++;
                    OperationKey key = new OperationKey("c", "k" + random.nextInt(KEYS));
                    keys.put(lastNumber, key);
                    recordVerdicts(executor.offer(
                            new Claim(lastNumber, key, "hash", nowMillis + 20), nowMillis, windowMillis));
                }

                void append() {
                    executor.nextBatch().ifPresent(batch -> {
                        switch (random.nextInt(5)) {
                            case 0 -> executor.abandonAppend();
                            case 1 -> {
                                delayed.add(batch);
                                executor.abandonAppend();
                            }
                            case 2 -> {
                                Simulation.this.append(batch);
                                executor.abandonAppend();
                            }
                            default -> Simulation.this.append(batch);
                        }
                    });
                }

                void read() {
                    if (position < log.size()) {
                        LogEntry entry = log.get(position);
                        readMillis = entry.timeMillis();
                        recordVerdicts(executor.apply(
                                entry.batch(), position + 1, entry.timeMillis(), windowMillis, nowMillis));
                        position++;
                    }
                }

                void finish() {
                    if (running.isEmpty()) {
                        return;
                    }
                    long attempt = running.keySet().iterator().next();
                    OperationKey key = running.remove(attempt);
                    OutcomeKind kind = OutcomeKind.values()[random.nextInt(3)];
                    if (kind == OutcomeKind.NOT_RUN) {
                        LastRun last = lastRuns.get(key);
                        if (last != null && last.executor().equals(identity) && last.attempt() == attempt) {
                            lastRuns.remove(key);
                        }
                        calledNumbers.remove(attempt);
                        calledNumbers.removeIf(claim -> key.equals(keys.get(claim)));
                    }
                    StoredAnswer answer = kind == OutcomeKind.DONE ? new StoredAnswer(200, null, new byte[0]) : null;
                    recordVerdicts(executor.completeAttempt(attempt, kind, answer));
                }

                void recordVerdicts(List<Verdict> verdicts) {
                    for (Verdict verdict : verdicts) {
                        if (verdict instanceof Verdict.Run run) {
                            recordRun(run);
                        } else if (verdict instanceof Verdict.NotRun notRun) {
                            refusals++;
                            refusedNumbers.add(notRun.claim());
                            Assert.assertFalse(calledNumbers.contains(notRun.claim()), "false refusal, seed " + seed);
                        }
                    }
                }

                private void recordRun(Verdict.Run run) {
                    runs++;
                    OperationKey key = keys.get(run.claim());
                    Assert.assertFalse(refusedNumbers.contains(run.claim()), "ran after a refusal, seed " + seed);
                    Assert.assertFalse(refusedNumbers.contains(run.attempt()), "ran after a refusal, seed " + seed);
                    LastRun last = lastRuns.put(key, new LastRun(identity, run.attempt(), readMillis));
                    Assert.assertTrue(
                            last == null || readMillis - last.intentMillis() > windowMillis,
                            "second run of " + key + ", seed " + seed);
                    running.put(run.attempt(), key);
                    calledNumbers.add(run.claim());
                    calledNumbers.add(run.attempt());
                }
            }
        }
    }
}
