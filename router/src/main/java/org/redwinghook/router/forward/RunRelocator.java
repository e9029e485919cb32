package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.relocation.LinkQueue;
import org.redwinghook.core.relocation.MovePlan;
import org.redwinghook.core.relocation.RunAtEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Moves runs away from engines that leave, as {@link MovePlan} says; {@link RunMove} is one run's move. */
final class RunRelocator {

    /** Time between an engine's notice and its end, in milliseconds; the shortest notice of an engine. */
    private static final double NOTICE_MILLIS = 1_500;

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
        if (runs.isEmpty()) {
            return;
        }
        MovePlan plan = MovePlan.of(runs, memory, queue(engine), NOTICE_MILLIS);
        long noticedMillis = context.clock().millis();
        LOGGER.info(
                "moves planned engine={} runs={} moving={} firstMillis={} lastMillis={}",
                engine.entry().id(),
                runs.size(),
                plan.moves().size(),
                plan.moves().stream()
                        .mapToLong(move -> (long) move.startMillis())
                        .min()
                        .orElse(0),
                plan.moves().stream()
                        .mapToLong(move -> (long) move.startMillis())
                        .max()
                        .orElse(0));
        for (MovePlan.PlannedMove planned : plan.moves()) {
            StreamForwarding stream = byId.get(planned.run().requestId());
            RunMove move = new RunMove(context, stream, engine, noticedMillis + (long) plan.hurryMillis());
            if (planned.startMillis() < 1) {
                move.start();
            } else {
                context.vertx().setTimer((long) planned.startMillis(), ignored -> move.start());
            }
        }
    }

    private LinkQueue queue(KnownEndpoint engine) {
        long now = context.clock().millis();
        String id = engine.entry().id();
        boolean localEngine = context.state().endpoints().usable(engine.entry().service()).stream()
                .anyMatch(other -> other != engine
                        && other.entry().dataCentre().equals(engine.entry().dataCentre()));
        return new LinkQueue(context.ledger().earlier(self, id, now).heldTokens(), localEngine);
    }
}
