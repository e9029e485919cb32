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

    private static final LoadConditions UNRESTRICTED = conditions(0, true);
    private static final ReportedState EMPTY_ENGINE = new ReportedState("", "", List.of(), "", 0);

    private final EngineCommandPlanner planner =
            new EngineCommandPlanner(EngineCommandPlanner.DEFAULT_LOAD_SLOT_MILLIS);

    private static LoadConditions conditions(int rank, boolean isIdle) {
        return new LoadConditions(ignored -> OptionalInt.of(rank), 1, isIdle);
    }

    static DesiredState version(long fencing, String version) {
        return new DesiredState(fencing, new DesiredEngine("", version, List.of(), "", false));
    }

    private static Either<HoldReason, EngineCommand> load(String version, long fencing) {
        return Either.right(new EngineCommand(EngineCommandKind.LOAD_VERSION, version, fencing));
    }

    private static Either<HoldReason, EngineCommand> held(HoldReason hold) {
        return Either.left(hold);
    }

    /**
     * Guards against adapters being loaded before the model that drops them, and against commands for unspecified
     * properties.
     */
    @Test
    public void commandsFollowTheOrderOfTheirEffects() {
        DesiredState all = new DesiredState(4, new DesiredEngine("m", "2", List.of("a", "b"), "decode", false));
        assertEquals(all.nextCommandFor(EMPTY_ENGINE).get().kind(), EngineCommandKind.LOAD_MODEL);
        ReportedState model = new ReportedState("m", "", List.of(), "", 4);
        assertEquals(all.nextCommandFor(model).get().kind(), EngineCommandKind.LOAD_VERSION);
        ReportedState adapter = new ReportedState("m", "2", List.of("a"), "", 4);
        assertEquals(all.nextCommandFor(adapter).get(), new EngineCommand(EngineCommandKind.LOAD_ADAPTER, "b", 4));
        ReportedState almost = new ReportedState("m", "2", List.of("c", "b", "a"), "prefill", 4);
        assertEquals(all.nextCommandFor(almost).get().kind(), EngineCommandKind.CHANGE_ROLE);
        assertTrue(new DesiredState(4, DesiredEngine.UNSPECIFIED)
                .nextCommandFor(almost)
                .isEmpty());
    }

    /** Guards against a fencing number that goes back when a service's entry moves to a section with a lower version. */
    @Test
    public void fencingNumberIsTheHighestServicesSectionVersion() {
        Map<String, SectionVersion> sections = Map.of(
                "services.a", new SectionVersion(5, "t"),
                "services.b", new SectionVersion(11, "t"),
                "owners", new SectionVersion(20, "t"));
        Map<String, Service> none = Map.of();
        Configuration configuration = new Configuration(
                20, Map.of(), Map.of(), none, Map.of(), Map.of(), Map.of(), Map.of(), Rules.DEFAULT, sections);
        assertEquals(DesiredState.of(configuration, "s"), new DesiredState(11, DesiredEngine.UNSPECIFIED));
    }

    /**
     * Guards against a process that sends commands from outdated state after a pause, or from data buffered during the
     * pause.
     */
    @Test
    public void pauseRequiresFreshConfigurationAndEngineState() {
        EngineCommandPlanner paused = new EngineCommandPlanner(EngineCommandPlanner.DEFAULT_LOAD_SLOT_MILLIS);
        paused.recordConfirmedConfiguration(version(1, "old"), 0);
        paused.recordReportedState(EMPTY_ENGINE, 0, 0);
        long afterPause = EngineCommandPlanner.MAXIMUM_AGE_MILLIS + 1;
        assertEquals(paused.nextCommand(UNRESTRICTED, afterPause), held(HoldReason.STALE_CONFIGURATION));
        paused.recordConfirmedConfiguration(version(1, "old"), afterPause);
        paused.recordReportedState(EMPTY_ENGINE, afterPause, afterPause);
        assertEquals(paused.nextCommand(UNRESTRICTED, afterPause), held(HoldReason.STALE_CONFIGURATION));
        long afterRecovery = afterPause + EngineCommandPlanner.PAUSE_RECOVERY_MILLIS;
        paused.recordConfirmedConfiguration(version(2, "new"), afterRecovery);
        assertEquals(paused.nextCommand(UNRESTRICTED, afterRecovery), load("new", 2));
    }

    /** Guards against an old answer to a state request counting as fresh because it is processed late. */
    @Test
    public void stateAgeCountsFromItsRequest() {
        EngineCommandPlanner late = new EngineCommandPlanner(EngineCommandPlanner.DEFAULT_LOAD_SLOT_MILLIS);
        for (long now = 0; now <= 16_000; now += 1_000) {
            late.recordConfirmedConfiguration(version(1, "v"), now);
        }
        late.recordReportedState(EMPTY_ENGINE, 0, 16_000);
        assertEquals(late.nextCommand(UNRESTRICTED, 16_000), held(HoldReason.STALE_ENGINE_STATE));
    }

    /**
     * Guards against an older configuration replacing a newer one, or an engine with a higher fencing number being
     * changed.
     */
    @Test
    public void olderDesiredStatesAreNotApplied() {
        planner.recordConfirmedConfiguration(version(5, "new"), 0);
        planner.recordConfirmedConfiguration(version(4, "old"), 0);
        planner.recordReportedState(EMPTY_ENGINE, 0, 0);
        assertEquals(planner.nextCommand(UNRESTRICTED, 0), load("new", 5));
        assertEquals(planner.nextCommand(UNRESTRICTED, 0), held(HoldReason.IN_FLIGHT));
        planner.recordCommandResult(CommandResult.APPLIED, 10);
        planner.recordReportedState(EMPTY_ENGINE, 5, 11);
        assertEquals(planner.nextCommand(UNRESTRICTED, 11), held(HoldReason.STALE_ENGINE_STATE));
        planner.recordReportedState(new ReportedState("", "newest", List.of(), "", 6), 12, 12);
        assertEquals(planner.nextCommand(UNRESTRICTED, 12), held(HoldReason.NEWER_COMMAND_APPLIED));
    }

    /**
     * Guards against commands without back-off to a failing engine, and against a command after a refusal without a new
     * confirmation of the configuration.
     */
    @Test
    public void failuresBackOff() {
        EngineCommandPlanner failing = new EngineCommandPlanner(EngineCommandPlanner.DEFAULT_LOAD_SLOT_MILLIS);
        long now = 0;
        for (long wait : List.of(1_000L, 2_000L, 4_000L, 8_000L)) {
            failing.recordConfirmedConfiguration(version(1, "v"), now);
            failing.recordReportedState(EMPTY_ENGINE, now, now);
            assertEquals(failing.nextCommand(UNRESTRICTED, now), load("v", 1));
            failing.recordCommandResult(CommandResult.FAILED, now);
            failing.recordReportedState(EMPTY_ENGINE, now, now);
            assertEquals(failing.nextCommand(UNRESTRICTED, now + wait - 1), held(HoldReason.BACK_OFF));
            now += wait;
        }
        failing.recordReportedState(EMPTY_ENGINE, now, now);
        failing.recordConfirmedConfiguration(version(1, "v"), now);
        failing.nextCommand(UNRESTRICTED, now);
        failing.recordCommandResult(CommandResult.REFUSED, now);
        assertEquals(failing.nextCommand(UNRESTRICTED, now), held(HoldReason.STALE_CONFIGURATION));
    }

    /** Guards against a load during running work, and against new work between the start and the end of a load. */
    @Test
    public void drainsOnlyIfTheServiceRequiresIt() {
        EngineCommandPlanner draining = new EngineCommandPlanner(EngineCommandPlanner.DEFAULT_LOAD_SLOT_MILLIS);
        draining.recordConfirmedConfiguration(new DesiredState(1, new DesiredEngine("", "v", List.of(), "", true)), 0);
        draining.recordReportedState(EMPTY_ENGINE, 0, 0);
        assertTrue(draining.refusesWork());
        assertEquals(draining.nextCommand(conditions(0, false), 0), held(HoldReason.DRAINING));
        assertEquals(draining.nextCommand(UNRESTRICTED, 0), load("v", 1));
        assertTrue(draining.refusesWork());
        draining.recordCommandResult(CommandResult.APPLIED, 1);
        draining.recordReportedState(new ReportedState("", "v", List.of(), "", 1), 1, 1);
        assertFalse(draining.refusesWork());
        draining.recordConfirmedConfiguration(version(2, "w"), 1);
        assertFalse(draining.refusesWork());
    }
}
