package org.redwinghook.core.engine;

import java.util.List;
import java.util.Map;
import java.util.OptionalInt;

import io.vavr.control.Either;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.DesiredEngine;
import org.redwinghook.core.config.Rules;
import org.redwinghook.core.config.SectionVersion;
import org.redwinghook.core.config.Service;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

public final class EngineCommandPlannerTest {

    private static final LoadConditions FREE = conditions(0, true);
    private static final ReportedState FRESH = new ReportedState("", "", List.of(), "", 0);

    private final EngineCommandPlanner planner = new EngineCommandPlanner(EngineCommandPlanner.LOAD_SLOT_MILLIS);

    private static LoadConditions conditions(int rank, boolean isIdle) {
        return new LoadConditions(ignored -> OptionalInt.of(rank), 1, isIdle);
    }

    static DesiredState version(long fencing, String version) {
        return new DesiredState(fencing, new DesiredEngine("", version, List.of(), "", false));
    }

    private static Either<CommandHold, EngineCommand> load(String version, long fencing) {
        return Either.right(new EngineCommand(EngineCommandKind.LOAD_VERSION, version, fencing));
    }

    private static Either<CommandHold, EngineCommand> held(CommandHold hold) {
        return Either.left(hold);
    }

    /** Guards against adapters being loaded before the model that drops them, and against commands without a wish. */
    @Test
    public void commandsFollowTheOrderOfTheirEffects() {
        DesiredState all = new DesiredState(4, new DesiredEngine("m", "2", List.of("a", "b"), "decode", false));
        assertEquals(all.firstDifference(FRESH).get().kind(), EngineCommandKind.LOAD_MODEL);
        ReportedState model = new ReportedState("m", "", List.of(), "", 4);
        assertEquals(all.firstDifference(model).get().kind(), EngineCommandKind.LOAD_VERSION);
        ReportedState adapter = new ReportedState("m", "2", List.of("a"), "", 4);
        assertEquals(all.firstDifference(adapter).get(), new EngineCommand(EngineCommandKind.LOAD_ADAPTER, "b", 4));
        ReportedState almost = new ReportedState("m", "2", List.of("c", "b", "a"), "prefill", 4);
        assertEquals(all.firstDifference(almost).get().kind(), EngineCommandKind.CHANGE_ROLE);
        assertTrue(new DesiredState(4, DesiredEngine.NO_WISH)
                .firstDifference(almost)
                .isEmpty());
    }

    /** Guards against a fencing number that goes back when a service's entry moves to a section with a lower version. */
    @Test
    public void numberIsTheHighestOfTheSectionsOfServices() {
        Map<String, SectionVersion> sections = Map.of(
                "services.a", new SectionVersion(5, "t"),
                "services.b", new SectionVersion(11, "t"),
                "owners", new SectionVersion(20, "t"));
        Map<String, Service> none = Map.of();
        Configuration configuration = new Configuration(
                20, Map.of(), Map.of(), none, Map.of(), Map.of(), Map.of(), Map.of(), Rules.DEFAULT, sections);
        assertEquals(DesiredState.of(configuration, "s"), new DesiredState(11, DesiredEngine.NO_WISH));
    }

    /** Guards against a process that slept commanding what it knew before, also by data buffered during the pause. */
    @Test
    public void afterAPauseBothSidesAreRefreshedFirst() {
        EngineCommandPlanner paused = new EngineCommandPlanner(EngineCommandPlanner.LOAD_SLOT_MILLIS);
        paused.configurationConfirmed(version(1, "old"), 0);
        paused.stateRead(FRESH, 0, 0);
        long woken = EngineCommandPlanner.FRESH_MILLIS + 1;
        assertEquals(paused.next(FREE, woken), held(CommandHold.STALE_CONFIGURATION));
        paused.configurationConfirmed(version(1, "old"), woken);
        paused.stateRead(FRESH, woken, woken);
        assertEquals(paused.next(FREE, woken), held(CommandHold.STALE_CONFIGURATION));
        long settled = woken + EngineCommandPlanner.SETTLE_MILLIS;
        paused.configurationConfirmed(version(2, "new"), settled);
        assertEquals(paused.next(FREE, settled), load("new", 2));
    }

    /** Guards against a read that was answered long ago counting as fresh because it is processed late. */
    @Test
    public void ageOfAReadCountsFromItsRequest() {
        EngineCommandPlanner late = new EngineCommandPlanner(EngineCommandPlanner.LOAD_SLOT_MILLIS);
        for (long now = 0; now <= 16_000; now += 1_000) {
            late.configurationConfirmed(version(1, "v"), now);
        }
        late.stateRead(FRESH, 0, 16_000);
        assertEquals(late.next(FREE, 16_000), held(CommandHold.STALE_ENGINE_STATE));
    }

    /** Guards against an older configuration replacing a newer one, or an engine with a newer number being changed. */
    @Test
    public void olderStatesAreNotCommanded() {
        planner.configurationConfirmed(version(5, "new"), 0);
        planner.configurationConfirmed(version(4, "old"), 0);
        planner.stateRead(FRESH, 0, 0);
        assertEquals(planner.next(FREE, 0), load("new", 5));
        assertEquals(planner.next(FREE, 0), held(CommandHold.IN_FLIGHT));
        planner.commandEnded(CommandResult.APPLIED, 10);
        planner.stateRead(FRESH, 5, 11);
        assertEquals(planner.next(FREE, 11), held(CommandHold.STALE_ENGINE_STATE));
        planner.stateRead(new ReportedState("", "newest", List.of(), "", 6), 12, 12);
        assertEquals(planner.next(FREE, 12), held(CommandHold.NEWER_COMMAND_APPLIED));
    }

    /** Guards against a failing engine being commanded without pause, and a refused one without a newer configuration. */
    @Test
    public void failuresBackOff() {
        EngineCommandPlanner failing = new EngineCommandPlanner(EngineCommandPlanner.LOAD_SLOT_MILLIS);
        long now = 0;
        for (long wait : List.of(1_000L, 2_000L, 4_000L, 8_000L)) {
            failing.configurationConfirmed(version(1, "v"), now);
            failing.stateRead(FRESH, now, now);
            assertEquals(failing.next(FREE, now), load("v", 1));
            failing.commandEnded(CommandResult.FAILED, now);
            failing.stateRead(FRESH, now, now);
            assertEquals(failing.next(FREE, now + wait - 1), held(CommandHold.BACK_OFF));
            now += wait;
        }
        failing.stateRead(FRESH, now, now);
        failing.configurationConfirmed(version(1, "v"), now);
        failing.next(FREE, now);
        failing.commandEnded(CommandResult.REFUSED, now);
        assertEquals(failing.next(FREE, now), held(CommandHold.STALE_CONFIGURATION));
    }

    /** Guards against a load under running work, and against new work between the start and the end of a load. */
    @Test
    public void drainsOnlyIfTheChangeSaysSo() {
        EngineCommandPlanner draining = new EngineCommandPlanner(EngineCommandPlanner.LOAD_SLOT_MILLIS);
        draining.configurationConfirmed(new DesiredState(1, new DesiredEngine("", "v", List.of(), "", true)), 0);
        draining.stateRead(FRESH, 0, 0);
        assertTrue(draining.refusesWork());
        assertEquals(draining.next(conditions(0, false), 0), held(CommandHold.DRAINING));
        assertEquals(draining.next(FREE, 0), load("v", 1));
        assertTrue(draining.refusesWork());
        draining.commandEnded(CommandResult.APPLIED, 1);
        draining.stateRead(new ReportedState("", "v", List.of(), "", 1), 1, 1);
        assertFalse(draining.refusesWork());
        draining.configurationConfirmed(version(2, "w"), 1);
        assertFalse(draining.refusesWork());
    }
}
