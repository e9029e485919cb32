package org.redwinghook.router.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.relocation.MoveOrder;
import org.redwinghook.core.relocation.MovePlan;
import org.redwinghook.core.relocation.RunAtEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Moves runs away from engines that are leaving. Routers take turns in the order of their names ({@link
 * MoveOrder#mayStartCopying}); in its turn, a router moves its runs in waves ({@link MovePlan}).
 */
final class RunRelocator {

    /** Time between an engine's notice and its end, in milliseconds: the shortest notice of an engine. */
    private static final double NOTICE_MILLIS = 1_500;

    /** Part of the notice for the final copy and its transfer, in milliseconds: several round trips between regions. */
    private static final long FINAL_COPY_MILLIS = 350;

    /** Interval of checks whether the routers before this one have moved their runs, in milliseconds. */
    private static final long TURN_CHECK_INTERVAL_MILLIS = 20;

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
     * Moves the runs of an engine that is leaving.
     *
     * @param engine the engine
     */
    void handleEndpointLeaving(KnownEndpoint engine) {
        EngineMemory memory = context.selector().memory(engine.entry().service());
        if (!memory.movable()) {
            return;
        }
        Map<String, StreamForwarding> streamsByRequestId = new HashMap<>();
        List<RunAtEngine> runs = new ArrayList<>();
        for (StreamForwarding stream : streams.findByEndpoint(engine.entry().id())) {
            streamsByRequestId.put(stream.caller().requestId(), stream);
            runs.add(stream.runAtEngine());
        }
        if (!runs.isEmpty()) {
            // The other routers take turns by this router's newest work, not by that of its last report.
            context.reportWork().run();
        }
        MovePlan plan = MovePlan.of(runs, memory, NOTICE_MILLIS);
        if (plan.waves().isEmpty()) {
            return;
        }
        Departure departure = new Departure(
                engine, memory, plan.firstWaveTokens(), context.clock().millis());
        for (List<RunAtEngine> wave : plan.waves()) {
            departure.waves.add(wave.stream()
                    .map(run -> streamsByRequestId.get(run.requestId()))
                    .toList());
        }
        LOGGER.info(
                "moves planned engine={} runs={} waves={}",
                engine.entry().id(),
                runs.size(),
                plan.waves().size());
        departure.awaitTurn();
    }

    /** An engine that is leaving and the runs that this router still has to move from it. */
    private final class Departure {

        private final KnownEndpoint engine;
        private final EngineMemory memory;
        private final long noticedAtMillis;
        private final Deque<List<StreamForwarding>> waves = new ArrayDeque<>();
        private final long firstWaveTokens;
        private int copyingRuns;

        Departure(KnownEndpoint engine, EngineMemory memory, long firstWaveTokens, long noticedAtMillis) {
            this.engine = engine;
            this.memory = memory;
            this.firstWaveTokens = firstWaveTokens;
            this.noticedAtMillis = noticedAtMillis;
        }

        /** Starts the first wave once it is this router's turn; routers copy in the order of their names. */
        void awaitTurn() {
            long now = context.clock().millis();
            long tokensOfEarlierRouters = context.ledger()
                    .workOfEarlierRouters(self, engine.entry().id(), now)
                    .heldTokens();
            if (MoveOrder.mayStartCopying(
                    tokensOfEarlierRouters, firstWaveTokens, memory, now - noticedAtMillis, NOTICE_MILLIS)) {
                startNextWave();
                return;
            }
            context.vertx().setTimer(TURN_CHECK_INTERVAL_MILLIS, ignored -> awaitTurn());
        }

        private void startNextWave() {
            List<StreamForwarding> wave = waves.poll();
            if (wave == null) {
                return;
            }
            copyingRuns = wave.size();
            long secondCopyDeadlineMillis = noticedAtMillis + (long) NOTICE_MILLIS - FINAL_COPY_MILLIS;
            for (StreamForwarding stream : wave) {
                new RunMove(context, stream, engine, secondCopyDeadlineMillis, this::handleLinkReleased).start();
            }
        }

        private void handleLinkReleased() {
            copyingRuns--;
            if (copyingRuns == 0) {
                startNextWave();
            }
        }
    }
}
