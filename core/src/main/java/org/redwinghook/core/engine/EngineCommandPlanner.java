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
    public static final long FRESH_MILLIS = 15_000;

    /** Usual time given to the weight loads of a group of endpoints. */
    public static final long LOAD_SLOT_MILLIS = 60_000;

    /**
     * Time after a pause in which confirmations of the configuration do not count, since they may have waited in a
     * socket buffer during the pause.
     */
    public static final long SETTLE_MILLIS = 1_000;

    private static final long FIRST_BACK_OFF_MILLIS = 1_000;
    private static final int MOST_DOUBLINGS = 6;

    private final long slotMillis;
    private DesiredState desired = new DesiredState(0, DesiredEngine.NO_WISH);
    private @Nullable ReportedState reported;
    private @Nullable ReportedState lastReported;
    private boolean isConfirmed;
    private long confirmedMillis;
    private long readMillis;
    private boolean isInFlight;
    private long endedMillis = Long.MIN_VALUE;
    private boolean isSeen;
    private long seenMillis;
    private long settledMillis = Long.MIN_VALUE;
    private boolean isDifferent;
    private long differentMillis;
    private int failures;
    private long retryMillis = Long.MIN_VALUE;

    /**
     * Creates a planner that knows nothing yet.
     *
     * @param slotMillis time given to the weight loads of a group of endpoints
     */
    public EngineCommandPlanner(long slotMillis) {
        this.slotMillis = slotMillis;
    }

    /**
     * Notes that time passes; a gap longer than {@link #FRESH_MILLIS} between two calls is a pause of the process.
     *
     * @param nowMillis the time now
     */
    public void tick(long nowMillis) {
        if (isSeen && nowMillis - seenMillis > FRESH_MILLIS) {
            isConfirmed = false;
            reported = null;
            settledMillis = nowMillis + SETTLE_MILLIS;
        }
        isSeen = true;
        seenMillis = nowMillis;
    }

    /**
     * Notes a configuration that was confirmed as the newest one. An older one than before is ignored.
     *
     * @param confirmed its desired state
     * @param nowMillis the time now
     */
    public void configurationConfirmed(DesiredState confirmed, long nowMillis) {
        tick(nowMillis);
        if (confirmed.fencing() < desired.fencing()) {
            return;
        }
        if (!confirmed.engine().equals(desired.engine())) {
            isDifferent = false;
            failures = 0;
            retryMillis = Long.MIN_VALUE;
        }
        desired = confirmed;
        if (nowMillis >= settledMillis) {
            isConfirmed = true;
            confirmedMillis = nowMillis;
        }
    }

    /**
     * Notes the engine's state. One that was requested before the end of the last command is ignored.
     *
     * @param state the state
     * @param requestedMillis when it was requested
     * @param nowMillis the time now
     */
    public void stateRead(ReportedState state, long requestedMillis, long nowMillis) {
        tick(nowMillis);
        if (isInFlight || requestedMillis < endedMillis) {
            return;
        }
        reported = state;
        lastReported = state;
        readMillis = requestedMillis;
    }

    /**
     * Decides on the next command. A returned command counts as under way until its end is noted.
     *
     * @param conditions what limits weight loads
     * @param nowMillis the time now
     * @return the command, or why there is none
     */
    public Either<CommandHold, EngineCommand> next(LoadConditions conditions, long nowMillis) {
        tick(nowMillis);
        if (isInFlight) {
            return Either.left(CommandHold.IN_FLIGHT);
        }
        if (!isConfirmed || nowMillis - confirmedMillis > FRESH_MILLIS) {
            return Either.left(CommandHold.STALE_CONFIGURATION);
        }
        ReportedState state = reported;
        if (state == null || nowMillis - readMillis > FRESH_MILLIS) {
            return Either.left(CommandHold.STALE_ENGINE_STATE);
        }
        Optional<EngineCommand> command = desired.firstDifference(state);
        if (command.isEmpty()) {
            isDifferent = false;
            return Either.left(CommandHold.AS_DESIRED);
        }
        noteDifference(nowMillis);
        return hold(state, command.get(), conditions, nowMillis)
                .<Either<CommandHold, EngineCommand>>map(Either::left)
                .orElseGet(() -> start(command.get()));
    }

    /**
     * Notes the end of the command under way.
     *
     * @param result how it ended
     * @param nowMillis the time now
     */
    public void commandEnded(CommandResult result, long nowMillis) {
        isInFlight = false;
        reported = null;
        endedMillis = nowMillis;
        tick(nowMillis);
        if (result == CommandResult.APPLIED) {
            failures = 0;
            return;
        }
        if (result == CommandResult.REFUSED) {
            // A refused number shows that a newer configuration exists.
            isConfirmed = false;
        }
        retryMillis = nowMillis + (FIRST_BACK_OFF_MILLIS << Math.min(failures, MOST_DOUBLINGS));
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

    private void noteDifference(long nowMillis) {
        if (!isDifferent) {
            isDifferent = true;
            differentMillis = nowMillis;
        }
    }

    private Optional<CommandHold> hold(
            ReportedState state, EngineCommand command, LoadConditions conditions, long nowMillis) {
        if (state.fencing() > command.fencing()) {
            return Optional.of(CommandHold.NEWER_COMMAND_APPLIED);
        }
        if (nowMillis < retryMillis) {
            return Optional.of(CommandHold.BACK_OFF);
        }
        if (!command.kind().isWeightLoad()) {
            return Optional.empty();
        }
        OptionalInt rank = conditions.rank().apply(desired.engine());
        long waited = nowMillis - differentMillis;
        if (rank.isEmpty() || !LoadTurn.hasCome(rank.getAsInt(), conditions.concurrentLoads(), waited, slotMillis)) {
            return Optional.of(CommandHold.WAITING_FOR_TURN);
        }
        return desired.refusesWork(state) && !conditions.isIdle()
                ? Optional.of(CommandHold.DRAINING)
                : Optional.empty();
    }

    private Either<CommandHold, EngineCommand> start(EngineCommand command) {
        isInFlight = true;
        return Either.right(command);
    }
}
