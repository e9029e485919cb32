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
 * One run's move to another engine. The run's memory is copied while it goes on. A second copy sends what is new and
 * returns when the copies that were queued on the engine's link before it are done. Then the run is stopped, so that its
 * last copy does not wait behind whole copies, and goes on at the other engine.
 */
final class RunMove {

    /** Pause before a run that has not started, or whose copy is in progress, is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 60;

    /** Longest time for one run's move, in milliseconds; an engine that drains serves for some seconds. */
    private static final long LONGEST_MILLIS = 10_000;

    /** Longest wait for the end of a stopped run's stream, in milliseconds: several round trips. */
    private static final long STOPPED_MILLIS = 300;

    private static final long STOPPED_CHECK_MILLIS = 5;

    private static final Logger LOGGER = LoggerFactory.getLogger(RunMove.class);

    private final ForwardContext context;
    private final StreamForwarding stream;
    private final KnownEndpoint source;
    private final long hurryAtMillis;
    private final Runnable onLinkLeft;
    private final long createdMillis;
    private final Set<String> excluded = new HashSet<>();
    private @Nullable KnownEndpoint destination;
    private @Nullable RunningRequest reserved;
    private int tries;
    private boolean linkLeft;
    private long stopSentMillis;
    private long stoppedMillis;

    /**
     * Creates a move.
     *
     * @param context shared services
     * @param stream the run's stream
     * @param source engine that leaves
     * @param hurryAtMillis time, monotonic, from which a copied run stops without a second copy
     * @param onLinkLeft called once when the run is stopped or its copy is put off, so that others may use the link
     */
    RunMove(
            ForwardContext context,
            StreamForwarding stream,
            KnownEndpoint source,
            long hurryAtMillis,
            Runnable onLinkLeft) {
        this.onLinkLeft = onLinkLeft;
        this.context = context;
        this.stream = stream;
        this.source = source;
        this.hurryAtMillis = hurryAtMillis;
        this.createdMillis = context.clock().millis();
        excluded.add(source.entry().id());
    }

    void start() {
        tries++;
        if (!atSource()) {
            ended("run_ended");
            return;
        }
        if (context.clock().millis() - createdMillis > LONGEST_MILLIS) {
            ended("given_up");
            return;
        }
        Optional<KnownEndpoint> chosen = choose();
        if (chosen.isEmpty()) {
            // Memory that was full may be free by the next try.
            excluded.clear();
            excluded.add(source.entry().id());
            later();
            return;
        }
        reserve(chosen.get());
        copy(chosen.get(), true);
    }

    private boolean atSource() {
        return !stream.caller().ended()
                && stream.endpoint()
                        .filter(entry -> entry.id().equals(source.entry().id()))
                        .isPresent();
    }

    private Optional<KnownEndpoint> choose() {
        PlacementQuery query = new PlacementQuery(
                stream.run().residentTokens(), Math.max(0, stream.query().expectedOutputTokens()));
        return context.selector()
                .choose(
                        stream.caller(),
                        PlacementPolicy.MOVED_RUN,
                        query,
                        excluded,
                        source.entry().dataCentre());
    }

    private void reserve(KnownEndpoint endpoint) {
        release();
        destination = endpoint;
        RunningRequest request =
                new RunningRequest(endpoint.entry().id(), stream.run().residentTokens(), 0);
        reserved = request;
        context.ledger().add(request);
    }

    private void release() {
        RunningRequest request = reserved;
        if (request != null) {
            context.ledger().remove(request);
            reserved = null;
        }
    }

    private void copy(KnownEndpoint chosen, boolean whole) {
        context.moves()
                .copy(source.entry(), stream.caller().requestId(), chosen.entry(), false)
                .onFailure(failure -> ended("copy_failed " + failure.getMessage()))
                .onSuccess(result -> copied(result, chosen, whole));
    }

    private void copied(MoveResult result, KnownEndpoint chosen, boolean whole) {
        if (!atSource()) {
            free(result);
            ended("run_ended");
            return;
        }
        switch (result.status()) {
            case COPIED -> {
                if (whole && context.clock().millis() < hurryAtMillis) {
                    stream.prepare(chosen);
                    copy(chosen, false);
                } else {
                    stop(chosen);
                }
            }
            case NO_ROOM -> {
                excluded.add(chosen.entry().id());
                release();
                start();
            }
            default -> later();
        }
    }

    private void leaveLink() {
        if (!linkLeft) {
            linkLeft = true;
            onLinkLeft.run();
        }
    }

    private void later() {
        release();
        leaveLink();
        context.vertx().setTimer(RETRY_MILLIS, ignored -> start());
    }

    private void stop(KnownEndpoint chosen) {
        stream.expectStop(true);
        stopSentMillis = context.clock().millis();
        context.moves()
                .copy(source.entry(), stream.caller().requestId(), chosen.entry(), true)
                .onFailure(failure -> {
                    stream.stopFailed();
                    ended("stop_failed " + failure.getMessage());
                })
                .onSuccess(result -> stopped(result, chosen));
    }

    private void stopped(MoveResult result, KnownEndpoint chosen) {
        leaveLink();
        String handle = result.handle();
        if (handle == null) {
            stream.stopFailed();
            excluded.add(chosen.entry().id());
            later();
            return;
        }
        boolean copied = result.status() == MoveResult.Status.COPIED;
        stoppedMillis = context.clock().millis();
        awaitEnd(STOPPED_MILLIS, () -> {
            MemoryCopy copy = new MemoryCopy(source.entry().address(), handle);
            stream.continueAt(copied ? chosen : source, copy, source);
            if (copied) {
                ended("moved");
                return;
            }
            // The run goes on where it was, and another engine may have room.
            excluded.add(chosen.entry().id());
            later();
        });
    }

    /** Waits until all events of the stopped run have come. */
    private void awaitEnd(long millis, Runnable then) {
        if (stream.stopped() || millis <= 0) {
            then.run();
            return;
        }
        context.vertx().setTimer(STOPPED_CHECK_MILLIS, ignored -> awaitEnd(millis - STOPPED_CHECK_MILLIS, then));
    }

    private void free(MoveResult result) {
        String handle = result.handle();
        if (handle != null) {
            context.moves()
                    .free(source.entry(), handle)
                    .onFailure(failure -> LOGGER.info("copy not freed handle={} cause={}", handle, failure.toString()));
        }
    }

    private void ended(String outcome) {
        release();
        leaveLink();
        KnownEndpoint target = destination;
        long now = context.clock().millis();
        LOGGER.info(
                "move ended id={} from={} to={} outcome={} millis={} lastCopyMillis={} restMillis={} tries={}",
                stream.caller().requestId(),
                source.entry().id(),
                target == null ? "none" : target.entry().id(),
                outcome,
                now - createdMillis,
                stoppedMillis == 0 ? 0 : stoppedMillis - stopSentMillis,
                stoppedMillis == 0 ? 0 : now - stoppedMillis,
                tries);
        context.metrics().moved(outcome.split(" ")[0]);
        context.reportWork().run();
    }
}
