package org.redwinghook.router.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.RunningRequest;
import org.redwinghook.core.relocation.MoveOrder;
import org.redwinghook.core.relocation.RunAtEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves runs away from engines that leave. Each run is copied while it goes on, then stopped and copied again, which
 * sends only what is new, and goes on at the other engine. One run at a time: the engine's link takes one copy after
 * another, and a stopped run must not wait behind a whole copy.
 */
final class RunRelocator {

    /** Time between an engine's notice and its end, in milliseconds; the shortest notice of an engine. */
    private static final double NOTICE_MILLIS = 1_500;

    /** Pause before a run that has not started, or whose copy is in progress, is tried again, in milliseconds. */
    private static final long RETRY_MILLIS = 60;

    /** Tries for one run. */
    private static final int MOST_TRIES = 25;

    /** Longest wait for the end of a stopped run's stream, in milliseconds: several round trips. */
    private static final long STOPPED_MILLIS = 300;

    private static final long STOPPED_CHECK_MILLIS = 5;

    /** Interval of looks whether routers before this one have moved their runs, in milliseconds. */
    private static final long TURN_CHECK_MILLIS = 20;

    private static final Logger LOGGER = LoggerFactory.getLogger(RunRelocator.class);

    private final ForwardContext context;
    private final RunningStreams streams;
    private final String self;

    RunRelocator(ForwardContext context, RunningStreams streams, String self) {
        this.self = self;
        this.context = context;
        this.streams = streams;
    }

    /**
     * Moves the runs of an engine that leaves.
     *
     * @param engine the engine
     */
    void leaving(KnownEndpoint engine) {
        EngineMemory memory = context.selector().memory(engine.entry().service());
        if (!memory.movable()) {
            return;
        }
        Map<String, StreamForwarding> byId = new HashMap<>();
        List<RunAtEngine> runs = new ArrayList<>();
        for (StreamForwarding stream : streams.at(engine.entry().id())) {
            byId.put(stream.caller().requestId(), stream);
            runs.add(stream.run());
        }
        Deque<Move> queue = new ArrayDeque<>();
        for (RunAtEngine run : MoveOrder.order(runs, memory, NOTICE_MILLIS)) {
            queue.add(new Move(byId.get(run.requestId()), engine));
        }
        if (queue.isEmpty()) {
            return;
        }
        LOGGER.info("moves planned engine={} runs={} moving={}", engine.entry().id(), runs.size(), queue.size());
        awaitTurn(engine, memory, queue, context.clock().millis());
    }

    /** Routers whose names sort first copy first; see {@link MoveOrder#mayStart}. */
    private void awaitTurn(KnownEndpoint engine, EngineMemory memory, Deque<Move> queue, long sinceMillis) {
        long now = context.clock().millis();
        long earlier = context.ledger().earlier(self, engine.entry().id(), now).heldTokens();
        if (MoveOrder.mayStart(earlier, memory, now - sinceMillis, NOTICE_MILLIS)) {
            next(queue);
            return;
        }
        context.vertx().setTimer(TURN_CHECK_MILLIS, ignored -> awaitTurn(engine, memory, queue, sinceMillis));
    }

    private void next(Deque<Move> queue) {
        Move move = queue.poll();
        if (move != null) {
            move.start(queue);
        }
    }

    /** One run's move. */
    private final class Move {

        private final StreamForwarding stream;
        private final KnownEndpoint source;
        private final Set<String> excluded = new HashSet<>();
        private @Nullable KnownEndpoint destination;
        private @Nullable RunningRequest reserved;
        private long startedMillis;
        private int tries;

        Move(StreamForwarding stream, KnownEndpoint source) {
            this.stream = stream;
            this.source = source;
            excluded.add(source.entry().id());
        }

        void start(Deque<Move> queue) {
            tries++;
            startedMillis = context.clock().millis();
            if (!atSource() || tries > MOST_TRIES) {
                next(queue);
                return;
            }
            Optional<KnownEndpoint> chosen = choose();
            if (chosen.isEmpty()) {
                // Memory that was full may be free by the next try.
                excluded.clear();
                excluded.add(source.entry().id());
                later(queue);
                return;
            }
            destination = chosen.get();
            reserve(chosen.get());
            context.moves()
                    .copy(
                            source.entry(),
                            stream.caller().requestId(),
                            chosen.get().entry(),
                            false)
                    .onFailure(failure -> ended("copy_failed " + failure.getMessage(), queue))
                    .onSuccess(result -> copied(result, chosen.get(), queue));
        }

        private boolean atSource() {
            return !stream.caller().ended()
                    && stream.endpoint()
                            .filter(entry -> entry.id().equals(source.entry().id()))
                            .isPresent();
        }

        private Optional<KnownEndpoint> choose() {
            PlacementQuery query = new PlacementQuery(
                    stream.run().residentTokens(), Math.max(0, stream.query().outputTokens()));
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
            RunningRequest request =
                    new RunningRequest(endpoint.entry().id(), stream.run().residentTokens(), 0);
            reserved = request;
            context.ledger().started(request);
        }

        private void release() {
            RunningRequest request = reserved;
            if (request != null) {
                context.ledger().ended(request);
                reserved = null;
            }
        }

        private void copied(MoveResult result, KnownEndpoint chosen, Deque<Move> queue) {
            if (!atSource()) {
                freed(result, "run_ended", queue);
                return;
            }
            switch (result.status()) {
                case COPIED -> stop(chosen, queue);
                case NO_ROOM -> {
                    excluded.add(chosen.entry().id());
                    release();
                    start(queue);
                }
                default -> later(queue);
            }
        }

        private void later(Deque<Move> queue) {
            release();
            context.vertx().setTimer(RETRY_MILLIS, ignored -> {
                queue.add(this);
                next(queue);
            });
        }

        private void stop(KnownEndpoint chosen, Deque<Move> queue) {
            stream.expectStop(true);
            context.moves()
                    .copy(source.entry(), stream.caller().requestId(), chosen.entry(), true)
                    .onFailure(failure -> {
                        stream.stopFailed();
                        ended("stop_failed " + failure.getMessage(), queue);
                    })
                    .onSuccess(result -> stopped(result, chosen, queue));
        }

        private void stopped(MoveResult result, KnownEndpoint chosen, Deque<Move> queue) {
            String handle = result.handle();
            if (handle == null) {
                stream.stopFailed();
                excluded.add(chosen.entry().id());
                later(queue);
                return;
            }
            boolean copied = result.status() == MoveResult.Status.COPIED;
            awaitEnd(STOPPED_MILLIS, () -> {
                MemoryCopy copy = new MemoryCopy(source.entry().address(), handle);
                stream.continueAt(copied ? chosen : source, copy, source);
                if (copied) {
                    ended("moved " + result.status(), queue);
                    return;
                }
                // The run goes on where it was, and another engine may have room.
                excluded.add(chosen.entry().id());
                later(queue);
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

        private void freed(MoveResult result, String outcome, Deque<Move> queue) {
            if (result.handle() != null) {
                context.moves()
                        .free(source.entry(), result.handle())
                        .onFailure(failure ->
                                LOGGER.info("copy not freed handle={} cause={}", result.handle(), failure.toString()));
            }
            ended(outcome, queue);
        }

        private void ended(String outcome, Deque<Move> queue) {
            release();
            KnownEndpoint target = destination;
            LOGGER.info(
                    "move ended id={} from={} to={} outcome={} millis={} tries={}",
                    stream.caller().requestId(),
                    source.entry().id(),
                    target == null ? "none" : target.entry().id(),
                    outcome,
                    context.clock().millis() - startedMillis,
                    tries);
            context.metrics().moved(outcome.split(" ")[0]);
            context.reportWork().run();
            next(queue);
        }
    }
}
