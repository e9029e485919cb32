package org.redwinghook.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.RunningRequest;
import org.redwinghook.core.relocation.DeparturePlan;
import org.redwinghook.core.relocation.StopState;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves one run to another engine. The run's memory is copied while the run continues; then the run is stopped, what is
 * new is copied, and the run continues at the other engine. If other copies may be queued on the engine's link, a second
 * copy is made first, which returns when they are done, so that the stopped run does not wait for them.
 */
final class RunMove {

    /** Pause before retrying a run that has not started or whose copy is in progress, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 60;

    /** Maximum duration of one run's move, in milliseconds; a draining engine serves for several seconds. */
    private static final long MAXIMUM_MOVE_MILLIS = 10_000;

    /** Maximum number of copies of one run that fail without an answer: one destination fails, or the engine itself. */
    private static final int MAXIMUM_FAILED_COPIES = 3;

    /** Maximum wait for the end of a stopped run's stream, in milliseconds: several round trips. */
    private static final long STREAM_END_TIMEOUT_MILLIS = 300;

    private static final long STREAM_END_CHECK_INTERVAL_MILLIS = 5;

    /** Remaining notice below which a copied run is stopped at once, in milliseconds: several round trips between regions. */
    private static final long FINAL_COPY_MILLIS = 350;

    /** Time of a copy beyond the expected one from which others were queued before it, in milliseconds. */
    private static final long QUEUED_COPY_MILLIS = 90;

    private static final Logger LOGGER = LoggerFactory.getLogger(RunMove.class);

    private final ForwardContext context;
    private final StreamForwarding stream;
    private final KnownEndpoint source;
    private final EngineMemory memory;
    private final RefusingDestinations refusingDestinations;
    private final Link link;
    private final long createdAtMillis;
    private final Set<String> excluded = new HashSet<>();
    private @Nullable KnownEndpoint destination;
    private @Nullable RunningRequest reservation;
    private @Nullable String lastFailure;
    private int tries;
    private int failedCopies;
    private long dueMillis;
    private long copyStartedAtMillis;
    private long expectedCopyMillis;
    private long stopSentAtMillis;
    private long stoppedAtMillis;

    /** The link of the engine that is leaving, which serves one copy after the other. */
    interface Link {

        /**
         * Handles the start of a complete copy.
         *
         * @param move the move
         * @param expectedMillis expected time of the copy, in milliseconds
         */
        void handleCopyStart(RunMove move, long expectedMillis);

        /**
         * Whether other copies wait for the link.
         *
         * @return false if only this move uses it
         */
        boolean isWanted();

        /**
         * Time until the engine ends.
         *
         * @return the time in milliseconds
         */
        long remainingMillis();

        /**
         * Handles the end of a move's complete copies: its run is being stopped.
         *
         * @param move the move
         */
        void handleRelease(RunMove move);

        /**
         * Handles a move that has to be started again later.
         *
         * @param move the move
         */
        void handlePostponement(RunMove move);

        /**
         * Handles the end of a move.
         *
         * @param move the move
         */
        void handleEnd(RunMove move);
    }

    /**
     * Creates a move.
     *
     * @param context shared services
     * @param stream the run's stream
     * @param source engine that is leaving
     * @param memory its memory and link
     * @param refusingDestinations engines that had no room recently
     * @param link its link
     */
    RunMove(
            ForwardContext context,
            StreamForwarding stream,
            KnownEndpoint source,
            EngineMemory memory,
            RefusingDestinations refusingDestinations,
            Link link) {
        this.context = context;
        this.stream = stream;
        this.source = source;
        this.memory = memory;
        this.refusingDestinations = refusingDestinations;
        this.link = link;
        this.createdAtMillis = context.clock().millis();
        excluded.add(source.entry().id());
    }

    StreamForwarding stream() {
        return stream;
    }

    /** Whether the move may start; after a failure it waits for some time. */
    boolean isDue(long nowMillis) {
        return nowMillis >= dueMillis;
    }

    /** Ends a move that has not started or was postponed, if its run has ended or the time is over. */
    void endIfOver() {
        if (!isRunningAtSource()) {
            end(lastFailure == null ? "run_ended" : lastFailure);
            return;
        }
        if (context.clock().millis() - createdAtMillis > MAXIMUM_MOVE_MILLIS) {
            end("given_up");
        }
    }

    /** Starts the copy of the run; the link is the run's until it is released. */
    void start() {
        tries++;
        if (!isRunningAtSource()) {
            end("run_ended");
            return;
        }
        Optional<KnownEndpoint> chosen = chooseDestination();
        if (chosen.isEmpty()) {
            // Engines whose memory was full may have room at the next try.
            excluded.clear();
            excluded.add(source.entry().id());
            postpone();
            return;
        }
        reserve(chosen.get());
        long factor = chosen.get().entry().dataCentre().equals(source.entry().dataCentre())
                ? 1
                : DeparturePlan.CROSS_DATA_CENTRE_FACTOR;
        expectedCopyMillis =
                factor * (long) memory.copyMillis(stream.runAtEngine().residentTokens());
        copyStartedAtMillis = context.clock().millis();
        link.handleCopyStart(this, expectedCopyMillis);
        copy(chosen.get(), true);
    }

    private boolean isRunningAtSource() {
        return !stream.caller().isEnded()
                && stream.endpoint()
                        .filter(entry -> entry.id().equals(source.entry().id()))
                        .isPresent();
    }

    private Optional<KnownEndpoint> chooseDestination() {
        PlacementQuery query = new PlacementQuery(
                stream.runAtEngine().residentTokens(),
                Math.max(0, stream.query().expectedOutputTokens()));
        Set<String> unusable = refusingDestinations.current(context.clock().millis());
        unusable.addAll(excluded);
        return context.selector().chooseDestination(stream.caller(), query, unusable, source.entry());
    }

    private void reserve(KnownEndpoint endpoint) {
        releaseReservation();
        destination = endpoint;
        RunningRequest request =
                new RunningRequest(endpoint.entry().id(), stream.runAtEngine().residentTokens(), 0);
        reservation = request;
        context.ledger().add(request);
        // The other routers count the copy when they choose destinations.
        context.reportWork().run();
    }

    private void releaseReservation() {
        RunningRequest request = reservation;
        if (request != null) {
            context.ledger().remove(request);
            reservation = null;
        }
    }

    private void copy(KnownEndpoint chosen, boolean isFirstCopy) {
        context.memoryMover()
                .copy(source.entry(), stream.caller().requestId(), chosen.entry(), false)
                .onFailure(failure -> handleCopyFailure(failure, chosen))
                .onSuccess(result -> handleCopyResult(result, chosen, isFirstCopy));
    }

    private void handleCopyFailure(Throwable failure, KnownEndpoint chosen) {
        context.metrics().recordCopy("failed");
        failedCopies++;
        lastFailure = "copy_failed " + failure.getMessage();
        if (!isRunningAtSource() || failedCopies == MAXIMUM_FAILED_COPIES) {
            end(lastFailure);
            return;
        }
        excluded.add(chosen.entry().id());
        postpone();
    }

    private void handleCopyResult(MoveResult result, KnownEndpoint chosen, boolean isFirstCopy) {
        context.metrics().recordCopy(result.status().name());
        if (!isRunningAtSource()) {
            freeCopy(result);
            end("run_ended");
            return;
        }
        switch (result.status()) {
            case COPIED -> {
                if (isFirstCopy) {
                    stream.openConnection(chosen);
                }
                if (isFirstCopy && needsSecondCopy()) {
                    copy(chosen, false);
                } else {
                    stopRun(chosen);
                }
            }
            case NO_ROOM -> {
                excluded.add(chosen.entry().id());
                refusingDestinations.record(chosen.entry().id(), context.clock().millis());
                releaseReservation();
                start();
            }
            case UNKNOWN -> handleCopyFailure(new IllegalStateException("unexpected answer of the engine"), chosen);
            default -> postpone();
        }
    }

    /**
     * Whether other copies may be queued on the link. If the first copy took as long as a single one and others wait for
     * the link, the run is stopped before the next of them begins.
     */
    private boolean needsSecondCopy() {
        long tookMillis = context.clock().millis() - copyStartedAtMillis;
        boolean wasQueued = tookMillis > expectedCopyMillis + QUEUED_COPY_MILLIS;
        return link.remainingMillis() > FINAL_COPY_MILLIS && (wasQueued || !link.isWanted());
    }

    private void postpone() {
        releaseReservation();
        dueMillis = context.clock().millis() + RETRY_DELAY_MILLIS;
        link.handlePostponement(this);
    }

    private void stopRun(KnownEndpoint chosen) {
        if (chosen.isDeparting()) {
            excluded.add(chosen.entry().id());
            postpone();
            return;
        }
        stream.recordStop(StopState::afterRequest);
        stopSentAtMillis = context.clock().millis();
        context.memoryMover()
                .copy(source.entry(), stream.caller().requestId(), chosen.entry(), true)
                .onFailure(this::handleStopFailure)
                .onSuccess(result -> handleStopResult(result, chosen));
        link.handleRelease(this);
    }

    /** Handles a stop without an answer. Only a run whose stream goes on is tried again. */
    private void handleStopFailure(Throwable failure) {
        boolean isSent = !(failure instanceof CallNotSentException);
        LOGGER.info(
                "stop failed id={} engine={} sent={} streamEnded={} cause={}",
                stream.caller().requestId(),
                source.entry().id(),
                isSent,
                stream.isStopped(),
                failure.toString());
        stream.handleStopFailure(isSent ? StopState::afterUnknownResult : StopState::afterRejection);
        lastFailure = "stop_failed " + failure.getMessage();
        if (isRunningAtSource() && !stream.isStopped()) {
            postpone();
            return;
        }
        end(lastFailure);
    }

    private void handleStopResult(MoveResult result, KnownEndpoint chosen) {
        String handle = result.handle();
        if (handle == null) {
            LOGGER.info(
                    "stop without copy id={} engine={} status={} streamEnded={}",
                    stream.caller().requestId(),
                    source.entry().id(),
                    result.status(),
                    stream.isStopped());
            stream.handleStopFailure(
                    result.isStopRejected() ? StopState::afterRejection : StopState::afterUnknownResult);
            excluded.add(chosen.entry().id());
            postpone();
            return;
        }
        boolean copied = result.status() == MoveResult.Status.COPIED;
        stoppedAtMillis = context.clock().millis();
        awaitStreamEnd(STREAM_END_TIMEOUT_MILLIS, () -> {
            MemoryCopy copy = new MemoryCopy(source.entry().address(), handle);
            stream.continueAt(copied ? chosen : source, copy, source);
            if (copied) {
                end("moved");
                return;
            }
            // The run continues at the source; another engine may have room.
            excluded.add(chosen.entry().id());
            postpone();
        });
    }

    /** Waits until the stopped run's stream has ended, at most for the given time. */
    private void awaitStreamEnd(long remainingMillis, Runnable action) {
        if (stream.isStopped() || remainingMillis <= 0) {
            action.run();
            return;
        }
        context.vertx()
                .setTimer(
                        STREAM_END_CHECK_INTERVAL_MILLIS,
                        ignored -> awaitStreamEnd(remainingMillis - STREAM_END_CHECK_INTERVAL_MILLIS, action));
    }

    private void freeCopy(MoveResult result) {
        String handle = result.handle();
        if (handle != null) {
            context.memoryMover()
                    .free(source.entry(), handle)
                    .onFailure(failure -> LOGGER.info("copy not freed handle={} cause={}", handle, failure.toString()));
        }
    }

    private void end(String outcome) {
        releaseReservation();
        KnownEndpoint target = destination;
        long now = context.clock().millis();
        LOGGER.info(
                "move ended id={} from={} to={} fromVersion={} toVersion={} outcome={} millis={} lastCopyMillis={} restMillis={} tries={}",
                stream.caller().requestId(),
                source.entry().id(),
                target == null ? "none" : target.entry().id(),
                source.entry().version(),
                target == null ? "none" : target.entry().version(),
                outcome,
                now - createdAtMillis,
                stoppedAtMillis == 0 ? 0 : stoppedAtMillis - stopSentAtMillis,
                stoppedAtMillis == 0 ? 0 : now - stoppedAtMillis,
                tries);
        context.metrics().recordMove(outcome.split(" ")[0]);
        context.reportWork().run();
        link.handleEnd(this);
    }
}
