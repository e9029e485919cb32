package org.redwinghook.core.engine;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalInt;
import java.util.Random;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class InterleavingTest {

    private static final int SEEDS = 500;
    private static final int FAULTY_STEPS = 400;
    private static final int QUIET_STEPS = 200;
    private static final int MAXIMUM_EFFECT_DELAY_MILLIS = 20_000;
    private static final LoadConditions UNRESTRICTED = new LoadConditions(ignored -> OptionalInt.of(0), 1, true);

    @DataProvider
    public Object[][] engines() {
        return new Object[][] {{true}, {false}};
    }

    /**
     * Guards against an engine that ends in another state than the newest desired one, or that checks fencing numbers
     * and returns to an older state, under lost answers, late effects, restarts, pauses and late configuration.
     *
     * @param checksFencing whether the engine refuses commands with a lower fencing number
     */
    @Test(dataProvider = "engines")
    public void engineEndsInTheNewestDesiredState(boolean checksFencing) {
        int reversals = 0;
        for (long seed = 0; seed < SEEDS; seed++) {
            Simulation simulation = new Simulation(seed, checksFencing);
            for (int step = 0; step < FAULTY_STEPS; step++) {
                simulation.step(true);
            }
            for (int step = 0; step < QUIET_STEPS; step++) {
                simulation.step(false);
            }
            assertEquals(simulation.engine.version(), "v" + simulation.newestFencing, "seed " + seed);
            reversals += simulation.reversals;
        }
        // The faults must be frequent enough to cause reversals in engines that ignore fencing numbers, and only in
        // those.
        assertTrue(checksFencing ? reversals == 0 : reversals > 0, "reversals: " + reversals);
    }

    private record Effect(long atMillis, EngineCommand command, int incarnation) {}

    private static final class Simulation {

        private final Random random;
        private final boolean checksFencing;
        private final EngineCommandPlanner planner =
                new EngineCommandPlanner(EngineCommandPlanner.DEFAULT_LOAD_SLOT_MILLIS);
        private final List<Effect> effects = new ArrayList<>();
        private ReportedState engine = new ReportedState("", "", List.of(), "", 0);
        private int incarnation;
        private long nowMillis;
        private long newestFencing = 1;
        private long knownFencing = 1;
        private long highestApplied;
        private int reversals;

        Simulation(long seed, boolean checksFencing) {
            random = new Random(seed);
            this.checksFencing = checksFencing;
        }

        void step(boolean faulty) {
            nowMillis += faulty && random.nextInt(20) == 0 ? random.nextInt(60_000) : 1_000;
            if (faulty && random.nextInt(10) == 0) {
                newestFencing++;
            }
            if (faulty && random.nextInt(50) == 0) {
                incarnation++;
                engine = new ReportedState("", "", List.of(), "", 0);
                highestApplied = 0;
            }
            applyEffects();
            if (!faulty || random.nextInt(3) > 0) {
                knownFencing = faulty ? Math.max(knownFencing, newestFencing - random.nextInt(3)) : newestFencing;
                planner.recordConfirmedConfiguration(
                        EngineCommandPlannerTest.version(knownFencing, "v" + knownFencing), nowMillis);
            }
            if (!faulty || random.nextInt(4) > 0) {
                planner.recordReportedState(engine, nowMillis, nowMillis);
            }
            planner.nextCommand(UNRESTRICTED, nowMillis).forEach(command -> send(command, faulty));
        }

        private void send(EngineCommand command, boolean faulty) {
            assertEquals(command.fencing(), knownFencing, "an older desired state was commanded");
            boolean refused = checksFencing && command.fencing() < engine.fencing();
            int fault = faulty ? random.nextInt(4) : 0;
            if (fault == 0) {
                apply(command);
            } else if (fault < 3) {
                // The answer is lost, and the command takes effect at once or later.
                effects.add(new Effect(nowMillis + random.nextInt(MAXIMUM_EFFECT_DELAY_MILLIS), command, incarnation));
            }
            CommandResult end = refused ? CommandResult.REFUSED : CommandResult.FAILED;
            planner.recordCommandResult(fault == 0 && !refused ? CommandResult.APPLIED : end, nowMillis);
        }

        private void applyEffects() {
            List<Effect> due = effects.stream()
                    .filter(effect -> effect.atMillis() <= nowMillis)
                    .toList();
            effects.removeAll(due);
            due.stream()
                    .filter(effect -> effect.incarnation() == incarnation)
                    .forEach(effect -> apply(effect.command()));
        }

        private void apply(EngineCommand command) {
            if (checksFencing && command.fencing() < engine.fencing()) {
                return;
            }
            if (command.fencing() < highestApplied) {
                reversals++;
            }
            highestApplied = Math.max(highestApplied, command.fencing());
            // An engine that ignores fencing numbers reports none.
            long reported = checksFencing ? command.fencing() : 0;
            engine = new ReportedState("", command.name(), List.of(), "", reported);
        }
    }
}
