package org.redwinghook.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.RunningRequest;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves one run to another engine. The run's memory is copied while the run continues. A second copy sends what is new
 * and returns when the copies queued before it on the engine's network link are done. Then the run is stopped, so that
 * its final copy does not wait behind complete copies of other runs, and continues at the other engine.
 */
final class RunMove {

    /** Pause before retrying a run that has not started or whose copy is in progress, in milliseconds. */
    private static final long RETRY_DELAY_MILLIS = 60;

    /** Maximum duration of one run's move, in milliseconds; a draining engine serves for several seconds. */
    private static final long MAXIMUM_MOVE_MILLIS = 10_000;

    /** Maximum wait for the end of a stopped run's stream, in milliseconds: several round trips. */
    private static final long STREAM_END_TIMEOUT_MILLIS = 300;

    private static final long STREAM_END_CHECK_INTERVAL_MILLIS = 5;

    private static final Logger LOGGER = LoggerFactory.getLogger(RunMove.class);

    private final ForwardContext context;
    private final StreamForwarding stream;
    private final KnownEndpoint source;
    private final long secondCopyDeadlineMillis;
    private final Runnable onLinkReleased;
    private final long createdAtMillis;
    private final Set<String> excluded = new HashSet<>();
    private @Nullable KnownEndpoint destination;
    private @Nullable RunningRequest reservation;
    private int tries;
    private boolean isLinkReleased;
    private long stopSentAtMillis;
    private long stoppedAtMillis;

    /**
     * Creates a move.
     *
     * @param context shared services
     * @param stream the run's stream
     * @param source engine that is leaving
     * @param secondCopyDeadlineMillis monotonic time from which a copied run is stopped without a second copy
     * @param onLinkReleased called once when the run is stopped or its copy postponed, so that others may use the link
     */
    RunMove(
            ForwardContext context,
            StreamForwarding stream,
            KnownEndpoint source,
            long secondCopyDeadlineMillis,
            Runnable onLinkReleased) {
        this.onLinkReleased = onLinkReleased;
        this.context = context;
        this.stream = stream;
        this.source = source;
        this.secondCopyDeadlineMillis = secondCopyDeadlineMillis;
        this.createdAtMillis = context.clock().millis();
        excluded.add(source.entry().id());
    }

    void start() {
        tries++;
        if (!isRunningAtSource()) {
            end("run_ended");
            return;
        }
        if (context.clock().millis() - createdAtMillis > MAXIMUM_MOVE_MILLIS) {
            end("given_up");
            return;
        }
        Optional<KnownEndpoint> chosen = chooseDestination();
        if (chosen.isEmpty()) {
            // Engines whose memory was full may have room at the next try.
            excluded.clear();
            excluded.add(source.entry().id());
            retryLater();
            return;
        }
        reserve(chosen.get());
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
        return context.selector()
                .choose(
                        stream.caller(),
                        PlacementPolicy.MOVED_RUN,
                        query,
                        excluded,
                        source.entry().dataCentre());
    }

    private void reserve(KnownEndpoint endpoint) {
        releaseReservation();
        destination = endpoint;
        RunningRequest request =
                new RunningRequest(endpoint.entry().id(), stream.runAtEngine().residentTokens(), 0);
        reservation = request;
        context.ledger().add(request);
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
                .onFailure(failure -> end("copy_failed " + failure.getMessage()))
                .onSuccess(result -> handleCopyResult(result, chosen, isFirstCopy));
    }

    private void handleCopyResult(MoveResult result, KnownEndpoint chosen, boolean isFirstCopy) {
        if (!isRunningAtSource()) {
            freeCopy(result);
            end("run_ended");
            return;
        }
        switch (result.status()) {
            case COPIED -> {
                if (isFirstCopy && context.clock().millis() < secondCopyDeadlineMillis) {
                    stream.openConnection(chosen);
                    copy(chosen, false);
                } else {
                    stopRun(chosen);
                }
            }
            case NO_ROOM -> {
                excluded.add(chosen.entry().id());
                releaseReservation();
                start();
            }
            default -> retryLater();
        }
    }

    private void releaseLink() {
        if (!isLinkReleased) {
            isLinkReleased = true;
            onLinkReleased.run();
        }
    }

    private void retryLater() {
        releaseReservation();
        releaseLink();
        context.vertx().setTimer(RETRY_DELAY_MILLIS, ignored -> start());
    }

    private void stopRun(KnownEndpoint chosen) {
        stream.setStopping(true);
        stopSentAtMillis = context.clock().millis();
        context.memoryMover()
                .copy(source.entry(), stream.caller().requestId(), chosen.entry(), true)
                .onFailure(failure -> {
                    stream.handleStopFailure();
                    end("stop_failed " + failure.getMessage());
                })
                .onSuccess(result -> handleStopResult(result, chosen));
    }

    private void handleStopResult(MoveResult result, KnownEndpoint chosen) {
        releaseLink();
        String handle = result.handle();
        if (handle == null) {
            stream.handleStopFailure();
            excluded.add(chosen.entry().id());
            retryLater();
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
            retryLater();
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
        releaseLink();
        KnownEndpoint target = destination;
        long now = context.clock().millis();
        LOGGER.info(
                "move ended id={} from={} to={} outcome={} millis={} lastCopyMillis={} restMillis={} tries={}",
                stream.caller().requestId(),
                source.entry().id(),
                target == null ? "none" : target.entry().id(),
                outcome,
                now - createdAtMillis,
                stoppedAtMillis == 0 ? 0 : stoppedAtMillis - stopSentAtMillis,
                stoppedAtMillis == 0 ? 0 : now - stoppedAtMillis,
                tries);
        context.metrics().recordMove(outcome.split(" ")[0]);
        context.reportWork().run();
    }
}
