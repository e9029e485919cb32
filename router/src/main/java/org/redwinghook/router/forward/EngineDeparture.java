package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.message.CopyReport;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.placement.WorkTotals;
import org.redwinghook.core.relocation.DeparturePlan;
import org.redwinghook.core.relocation.LinkTurns;
import org.redwinghook.core.relocation.MoveOrder;
import org.redwinghook.core.relocation.PendingCopies;
import org.redwinghook.core.relocation.RunAtEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An engine that is leaving and the runs that this router still has to move from it. One run at a time is copied, in this
 * router's slots of the plan ({@link DeparturePlan}); the next copy begins while the run before it is handed over.
 */
final class EngineDeparture implements RunMove.Link {

    /** Time between an engine's notice and its end, in milliseconds: the shortest notice of an engine. */
    private static final long NOTICE_MILLIS = 1_500;

    /**
     * Remaining time from which runs are moved that were expected to end by themselves, in milliseconds: two copies, of
     * which one may be to another data centre.
     */
    private static final long LATE_MILLIS = 600;

    /** Interval of checks whether it is this router's turn, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 10;

    private static final Logger LOGGER = LoggerFactory.getLogger(EngineDeparture.class);

    private final ForwardContext context;
    private final KnownEndpoint engine;
    private final EngineMemory memory;
    private final RefusingDestinations refusingDestinations;
    private final Consumer<Message> broadcast;
    private final String self;
    private final Runnable onEnd;
    private final LinkTurns turns;
    private final Set<RunMove> moves = new HashSet<>();
    private final List<RunMove> waiting = new ArrayList<>();
    private @Nullable RunMove copying;
    private PendingCopies reported;
    private long reportNumber;
    private long reportedSinceMillis;
    private long busyUntilMillis;
    private boolean isChecking;

    EngineDeparture(
            ForwardContext context,
            KnownEndpoint engine,
            EngineMemory memory,
            RefusingDestinations refusingDestinations,
            Consumer<Message> broadcast,
            String self,
            Runnable onEnd) {
        this.context = context;
        this.engine = engine;
        this.memory = memory;
        this.refusingDestinations = refusingDestinations;
        this.broadcast = broadcast;
        this.self = self;
        this.onEnd = onEnd;
        this.reportNumber = now();
        this.reported = new PendingCopies(self, 0, 0);
        boolean isEndKnown = engine.leavesAtMillis() != Long.MAX_VALUE;
        long endMillis = isEndKnown ? engine.leavesAtMillis() : now() + NOTICE_MILLIS;
        this.turns = new LinkTurns(self, memory, now(), endMillis, isEndKnown);
    }

    /**
     * Moves runs, except those that are being moved already.
     *
     * @param runs their streams
     */
    void move(List<StreamForwarding> runs) {
        for (StreamForwarding run : runs) {
            if (moves.stream().noneMatch(move -> move.stream() == run)) {
                RunMove move = new RunMove(context, run, engine, memory, refusingDestinations, this);
                moves.add(move);
                waiting.add(move);
            }
        }
        LOGGER.info(
                "moves planned engine={} runs={} remainingMillis={} others={}",
                engine.entry().id(),
                waiting.size(),
                remainingMillis(),
                workOfOthers().keySet());
        report(0);
        if (!isChecking) {
            isChecking = true;
            // The other routers know the runs at the engine from earlier reports.
            reportedSinceMillis = now() - LinkTurns.REPORT_AGE_MILLIS;
            check();
        }
    }

    /**
     * Handles a report of another router.
     *
     * @param report the report, possibly of another engine
     * @param sentMillis time at which it was sent, by this router's monotonic clock
     */
    void handleCopyReport(CopyReport report, long sentMillis) {
        boolean isOfEngine = report.endpoint().equals(engine.entry().id())
                && report.startedAtMillis() == engine.entry().startedAtMillis();
        if (isOfEngine && !report.router().equals(self)) {
            turns.record(report, sentMillis);
        }
    }

    private void check() {
        for (RunMove move : List.copyOf(waiting)) {
            move.endIfOver();
        }
        if (moves.isEmpty()) {
            isChecking = false;
            onEnd.run();
            return;
        }
        if (readyMoves().size() != reported.runs()) {
            report(copying == null ? 0 : Math.max(0, busyUntilMillis - now()));
        }
        if (copying == null) {
            startNextCopy();
        }
        context.vertx().setTimer(CHECK_INTERVAL_MILLIS, ignored -> check());
    }

    private void startNextCopy() {
        List<RunMove> ready = readyMoves();
        PendingCopies pending = pendingCopies(ready);
        if (ready.isEmpty()) {
            startInPrefill();
            return;
        }
        if (turns.mayStart(pending, reportedSinceMillis, workOfOthers(), now())) {
            begin(ready.get(0));
        }
    }

    /** Tries a run without events when nobody uses the link: if its prompt is in prefill, the engine refuses the copy at once. */
    private void startInPrefill() {
        if (turns.isWantedByOthers(workOfOthers(), now())) {
            return;
        }
        for (RunMove move : waiting) {
            if (!move.stream().hasEvents() && move.isDue(now())) {
                begin(move);
                return;
            }
        }
    }

    private void begin(RunMove move) {
        waiting.remove(move);
        copying = move;
        move.start();
    }

    /** Runs to be copied now, first to last. */
    private List<RunMove> readyMoves() {
        Map<String, RunMove> moveByRequestId = new HashMap<>();
        List<RunAtEngine> runs = new ArrayList<>();
        long remainingMillis = remainingMillis();
        for (RunMove move : waiting) {
            RunAtEngine run = move.stream().runAtEngine();
            boolean isLeftAlone = remainingMillis > LATE_MILLIS
                    && move.stream().query().expectedOutputTokens() > 0
                    && MoveOrder.isExpectedToEnd(run, remainingMillis);
            if (move.stream().hasEvents() && move.isDue(now()) && !isLeftAlone) {
                moveByRequestId.put(run.requestId(), move);
                runs.add(run);
            }
        }
        return MoveOrder.order(runs, memory, remainingMillis).stream()
                .map(run -> moveByRequestId.get(run.requestId()))
                .toList();
    }

    private PendingCopies pendingCopies(List<RunMove> ready) {
        long tokens = 0;
        for (RunMove move : ready) {
            tokens += move.stream().runAtEngine().residentTokens();
        }
        return new PendingCopies(self, ready.size(), tokens);
    }

    private Map<String, WorkTotals> workOfOthers() {
        return context.ledger().workOfOtherRouters(engine.entry().id(), now());
    }

    private long now() {
        return context.clock().millis();
    }

    /** Tells the other routers for how long this one uses the link, and what it still has to copy. */
    private void report(long busyMillis) {
        PendingCopies before = reported;
        reported = pendingCopies(readyMoves());
        if (before.runs() == 0) {
            reportedSinceMillis = now();
        }
        busyUntilMillis = now() + busyMillis;
        CopyReport report = new CopyReport(
                self,
                engine.entry().id(),
                engine.entry().startedAtMillis(),
                ++reportNumber,
                now(),
                busyMillis,
                reported.runs(),
                reported.tokens());
        turns.record(report, now());
        broadcast.accept(report);
    }

    private void reportIfBusy() {
        if (busyUntilMillis > now()) {
            report(0);
        }
    }

    @Override
    public void handleCopyStart(RunMove move, long expectedMillis) {
        // A run without events is tried only while nobody uses the link, and is usually refused.
        if (copying == move && move.stream().hasEvents()) {
            report(expectedMillis + DeparturePlan.HANDOVER_MILLIS);
        }
    }

    @Override
    public boolean isWanted() {
        return !readyMoves().isEmpty() || turns.isWantedByOthers(workOfOthers(), now());
    }

    @Override
    public long remainingMillis() {
        return turns.remainingMillis(now());
    }

    @Override
    public void handleRelease(RunMove move) {
        if (copying == move) {
            copying = null;
            report(DeparturePlan.HANDOVER_MILLIS);
        }
    }

    @Override
    public void handlePostponement(RunMove move) {
        waiting.add(move);
        if (copying == move) {
            copying = null;
            reportIfBusy();
        }
    }

    @Override
    public void handleEnd(RunMove move) {
        moves.remove(move);
        waiting.remove(move);
        if (copying == move) {
            copying = null;
            reportIfBusy();
        }
    }
}
