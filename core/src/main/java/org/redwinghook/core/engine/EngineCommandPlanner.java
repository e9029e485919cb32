package org.redwinghook.core.engine;

import java.util.Optional;
import java.util.OptionalInt;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.DesiredEngine;

/**
 * Plans the commands to one engine from the desired and the reported state. Times are milliseconds of a monotonic clock.
 * Not safe for use by several threads.
 */
public final class EngineCommandPlanner {

    /** Age from which configuration and engine state are out of date; the heartbeat timeout. */
    public static final long MAXIMUM_AGE_MILLIS = 15_000;

    /** Usual time given to the weight loads of a group of endpoints. */
    public static final long DEFAULT_LOAD_SLOT_MILLIS = 60_000;

    /**
     * Time after a pause in which confirmations of the configuration do not count, since they may have waited in a
     * socket buffer during the pause.
     */
    public static final long PAUSE_RECOVERY_MILLIS = 1_000;

    private static final long INITIAL_BACK_OFF_MILLIS = 1_000;
    private static final int MAXIMUM_BACK_OFF_DOUBLINGS = 6;

    private final long slotMillis;
    private DesiredState desired = new DesiredState(0, DesiredEngine.UNSPECIFIED);
    private @Nullable ReportedState reported;
    private @Nullable ReportedState lastReported;
    private boolean isConfirmed;
    private long lastConfirmedMillis;
    private long stateRequestedMillis;
    private boolean isInFlight;
    private long lastCommandEndedMillis = Long.MIN_VALUE;
    private boolean hasTicked;
    private long lastTickMillis;
    private long ignoreConfirmationsUntilMillis = Long.MIN_VALUE;
    private boolean hasDifference;
    private long differenceSinceMillis;
    private int failures;
    private long retryNotBeforeMillis = Long.MIN_VALUE;

    /**
     * Creates a planner that knows nothing yet.
     *
     * @param slotMillis time given to the weight loads of a group of endpoints
     */
    public EngineCommandPlanner(long slotMillis) {
        this.slotMillis = slotMillis;
    }

    /**
     * Notes that time passes; a gap longer than {@link #MAXIMUM_AGE_MILLIS} between two calls is a pause of the process.
     *
     * @param nowMillis the time now
     */
    public void tick(long nowMillis) {
        if (hasTicked && nowMillis - lastTickMillis > MAXIMUM_AGE_MILLIS) {
            isConfirmed = false;
            reported = null;
            ignoreConfirmationsUntilMillis = nowMillis + PAUSE_RECOVERY_MILLIS;
        }
        hasTicked = true;
        lastTickMillis = nowMillis;
    }

    /**
     * Notes a configuration that was confirmed as the newest one. An older one than before is ignored.
     *
     * @param confirmed its desired state
     * @param nowMillis the time now
     */
    public void recordConfirmedConfiguration(DesiredState confirmed, long nowMillis) {
        tick(nowMillis);
        if (confirmed.fencing() < desired.fencing()) {
            return;
        }
        if (!confirmed.engine().equals(desired.engine())) {
            hasDifference = false;
            failures = 0;
            retryNotBeforeMillis = Long.MIN_VALUE;
        }
        desired = confirmed;
        if (nowMillis >= ignoreConfirmationsUntilMillis) {
            isConfirmed = true;
            lastConfirmedMillis = nowMillis;
        }
    }

    /**
     * Notes the engine's state. One that was requested before the end of the last command is ignored.
     *
     * @param state the state
     * @param requestedMillis when it was requested
     * @param nowMillis the time now
     */
    public void recordReportedState(ReportedState state, long requestedMillis, long nowMillis) {
        tick(nowMillis);
        if (isInFlight || requestedMillis < lastCommandEndedMillis) {
            return;
        }
        reported = state;
        lastReported = state;
        stateRequestedMillis = requestedMillis;
    }

    /**
     * Decides on the next command. A returned command counts as under way until its end is noted.
     *
     * @param conditions what limits weight loads
     * @param nowMillis the time now
     * @return the command, or why there is none
     */
    public Either<HoldReason, EngineCommand> nextCommand(LoadConditions conditions, long nowMillis) {
        tick(nowMillis);
        if (isInFlight) {
            return Either.left(HoldReason.IN_FLIGHT);
        }
        if (!isConfirmed || nowMillis - lastConfirmedMillis > MAXIMUM_AGE_MILLIS) {
            return Either.left(HoldReason.STALE_CONFIGURATION);
        }
        ReportedState state = reported;
        if (state == null || nowMillis - stateRequestedMillis > MAXIMUM_AGE_MILLIS) {
            return Either.left(HoldReason.STALE_ENGINE_STATE);
        }
        Optional<EngineCommand> command = desired.nextCommandFor(state);
        if (command.isEmpty()) {
            hasDifference = false;
            return Either.left(HoldReason.AS_DESIRED);
        }
        recordDifference(nowMillis);
        return findHoldReason(state, command.get(), conditions, nowMillis)
                .<Either<HoldReason, EngineCommand>>map(Either::left)
                .orElseGet(() -> startCommand(command.get()));
    }

    /**
     * Notes the end of the command under way.
     *
     * @param result how it ended
     * @param nowMillis the time now
     */
    public void recordCommandResult(CommandResult result, long nowMillis) {
        isInFlight = false;
        reported = null;
        lastCommandEndedMillis = nowMillis;
        tick(nowMillis);
        if (result == CommandResult.APPLIED) {
            failures = 0;
            return;
        }
        if (result == CommandResult.REFUSED) {
            // A refused number shows that a newer configuration exists.
            isConfirmed = false;
        }
        retryNotBeforeMillis = nowMillis + (INITIAL_BACK_OFF_MILLIS << Math.min(failures, MAXIMUM_BACK_OFF_DOUBLINGS));
        failures++;
    }

    /**
     * Whether the engine must not get new work, by the last state that it reported, which may be from before a command
     * under way.
     *
     * @return true while the service drains before a change and the engine reported another model version
     */
    public boolean refusesWork() {
        ReportedState state = lastReported;
        return state != null && desired.refusesWork(state);
    }

    /**
     * Desired state as far as known.
     *
     * @return the newest desired state
     */
    public DesiredState desired() {
        return desired;
    }

    /**
     * State of the engine.
     *
     * @return the last reported state, null before the first one
     */
    public @Nullable ReportedState reported() {
        return lastReported;
    }

    private void recordDifference(long nowMillis) {
        if (!hasDifference) {
            hasDifference = true;
            differenceSinceMillis = nowMillis;
        }
    }

    private Optional<HoldReason> findHoldReason(
            ReportedState state, EngineCommand command, LoadConditions conditions, long nowMillis) {
        if (state.fencing() > command.fencing()) {
            return Optional.of(HoldReason.NEWER_COMMAND_APPLIED);
        }
        if (nowMillis < retryNotBeforeMillis) {
            return Optional.of(HoldReason.BACK_OFF);
        }
        if (!command.kind().isWeightLoad()) {
            return Optional.empty();
        }
        OptionalInt rank = conditions.rank().apply(desired.engine());
        long waited = nowMillis - differenceSinceMillis;
        if (rank.isEmpty()
                || !LoadSchedule.mayLoad(rank.getAsInt(), conditions.concurrentLoads(), waited, slotMillis)) {
            return Optional.of(HoldReason.WAITING_FOR_TURN);
        }
        return desired.refusesWork(state) && !conditions.isIdle() ? Optional.of(HoldReason.DRAINING) : Optional.empty();
    }

    private Either<HoldReason, EngineCommand> startCommand(EngineCommand command) {
        isInFlight = true;
        return Either.right(command);
    }
}
