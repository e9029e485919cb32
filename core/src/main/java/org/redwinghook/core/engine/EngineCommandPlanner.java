package org.redwinghook.core.engine;

import java.util.Optional;
import java.util.OptionalInt;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.DesiredEngine;

/**
 * Plans the commands to one engine from the desired and the reported state. Times are milliseconds of a monotonic
 * clock. Not thread-safe.
 */
public final class EngineCommandPlanner {

    /** Maximum age of the confirmed configuration and the engine state; equals the heartbeat timeout. */
    public static final long MAXIMUM_AGE_MILLIS = 15_000;

    /** Default duration of the slot in which a group of endpoints loads weights. */
    public static final long DEFAULT_LOAD_SLOT_MILLIS = 60_000;

    /**
     * Time after a pause of the process in which confirmations of the configuration are ignored, since they may have
     * waited in a socket buffer during the pause.
     */
    public static final long PAUSE_RECOVERY_MILLIS = 1_000;

    private static final long INITIAL_BACK_OFF_MILLIS = 1_000;
    private static final int MAXIMUM_BACK_OFF_DOUBLINGS = 6;

    private final long slotMillis;
    private DesiredState desired = new DesiredState(0, DesiredEngine.UNSPECIFIED);
    private @Nullable ReportedState currentState;
    private @Nullable ReportedState lastReportedState;
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
     * Creates a planner without a confirmed configuration or an engine state.
     *
     * @param slotMillis duration of the slot in which a group of endpoints loads weights
     */
    public EngineCommandPlanner(long slotMillis) {
        this.slotMillis = slotMillis;
    }

    /**
     * Records the current time. A gap longer than {@link #MAXIMUM_AGE_MILLIS} between two calls counts as a pause of
     * the process, after which the configuration and the engine state must be confirmed again.
     *
     * @param nowMillis current time
     */
    public void tick(long nowMillis) {
        if (hasTicked && nowMillis - lastTickMillis > MAXIMUM_AGE_MILLIS) {
            isConfirmed = false;
            currentState = null;
            ignoreConfirmationsUntilMillis = nowMillis + PAUSE_RECOVERY_MILLIS;
        }
        hasTicked = true;
        lastTickMillis = nowMillis;
    }

    /**
     * Records the desired state of a configuration that was confirmed as the newest one. One with a lower fencing
     * number than the current one is ignored.
     *
     * @param confirmed desired state of the configuration
     * @param nowMillis current time
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
     * Records the engine's state. It is ignored if it was requested before the end of the last command.
     *
     * @param state the state
     * @param requestedMillis time of the request for the state
     * @param nowMillis current time
     */
    public void recordReportedState(ReportedState state, long requestedMillis, long nowMillis) {
        tick(nowMillis);
        if (isInFlight || requestedMillis < lastCommandEndedMillis) {
            return;
        }
        currentState = state;
        lastReportedState = state;
        stateRequestedMillis = requestedMillis;
    }

    /**
     * Decides on the next command. A returned command counts as in progress until its result is recorded.
     *
     * @param conditions limits on weight loads
     * @param nowMillis current time
     * @return the command, or the reason why there is none
     */
    public Either<HoldReason, EngineCommand> nextCommand(LoadConditions conditions, long nowMillis) {
        tick(nowMillis);
        if (isInFlight) {
            return Either.left(HoldReason.IN_FLIGHT);
        }
        if (!isConfirmed || nowMillis - lastConfirmedMillis > MAXIMUM_AGE_MILLIS) {
            return Either.left(HoldReason.STALE_CONFIGURATION);
        }
        ReportedState state = currentState;
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
     * Records the result of the command in progress.
     *
     * @param result how it ended
     * @param nowMillis current time
     */
    public void recordCommandResult(CommandResult result, long nowMillis) {
        isInFlight = false;
        currentState = null;
        lastCommandEndedMillis = nowMillis;
        tick(nowMillis);
        if (result == CommandResult.APPLIED) {
            failures = 0;
            return;
        }
        if (result == CommandResult.REFUSED) {
            // A refused fencing number shows that a newer configuration exists.
            isConfirmed = false;
        }
        retryNotBeforeMillis = nowMillis + (INITIAL_BACK_OFF_MILLIS << Math.min(failures, MAXIMUM_BACK_OFF_DOUBLINGS));
        failures++;
    }

    /**
     * Whether the engine must not get new work, according to its last reported state, which may predate a command in
     * progress.
     *
     * @return true while the service drains before a change and the engine reported another model version
     */
    public boolean refusesWork() {
        ReportedState state = lastReportedState;
        return state != null && desired.refusesWork(state);
    }

    /**
     * Desired state of the newest confirmed configuration.
     *
     * @return the desired state
     */
    public DesiredState desired() {
        return desired;
    }

    /**
     * State of the engine.
     *
     * @return the last reported state, null before the first report
     */
    public @Nullable ReportedState reported() {
        return lastReportedState;
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
