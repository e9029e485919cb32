package org.redwinghook.router.forward;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.message.CopyReport;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.relocation.ReportAges;

/** Moves runs away from engines that are leaving; each engine has its {@link EngineDeparture}. */
final class RunRelocator {

    /** Time for which reports are kept that arrive before the notice of their engine, in milliseconds. */
    private static final long EARLY_REPORT_MILLIS = 500;

    /** Maximum number of kept reports: those of 60 routers with a run at each of four engines. */
    private static final int MAXIMUM_EARLY_REPORTS = 240;

    private final ForwardContext context;
    private final RunningStreams streams;
    private final Consumer<Message> broadcast;
    private final String self;
    private final RefusingDestinations refusingDestinations = new RefusingDestinations();
    private final ReportAges reportAges = new ReportAges();
    private final Map<String, EngineDeparture> departures = new HashMap<>();
    private final Deque<RecentReport> recentReports = new ArrayDeque<>();

    private record RecentReport(CopyReport report, long sentMillis) {}

    /**
     * Creates a relocator.
     *
     * @param context shared services
     * @param streams streams of this router
     * @param broadcast sends a message to the connected routers
     * @param self name of this router
     */
    RunRelocator(ForwardContext context, RunningStreams streams, Consumer<Message> broadcast, String self) {
        this.context = context;
        this.streams = streams;
        this.broadcast = broadcast;
        this.self = self;
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
        List<StreamForwarding> found = streams.findByEndpoint(engine.entry().id());
        List<StreamForwarding> runs = new ArrayList<>();
        for (StreamForwarding stream : found) {
            if (!stream.runAtEngine().resumable()) {
                runs.add(stream);
            }
        }
        if (found.isEmpty()) {
            return;
        }
        // The other routers plan by this router's newest work, not by that of its last report.
        context.reportWork().run();
        String incarnation = engine.entry().incarnation();
        EngineDeparture departure = departures.get(incarnation);
        if (departure == null) {
            departure = new EngineDeparture(
                    context,
                    engine,
                    memory,
                    refusingDestinations,
                    broadcast,
                    self,
                    () -> departures.remove(incarnation));
            departures.put(incarnation, departure);
            for (RecentReport early : recentReports) {
                departure.handleCopyReport(early.report(), early.sentMillis());
            }
        }
        departure.move(runs);
    }

    /**
     * Handles a new connection to another router.
     *
     * @param router name of the router
     */
    void handleRouterConnected(String router) {
        reportAges.remove(router);
    }

    /**
     * Handles a report of another router.
     *
     * @param report the report
     */
    void handleCopyReport(CopyReport report) {
        long now = context.clock().millis();
        while (!recentReports.isEmpty()
                && (now - recentReports.peek().sentMillis() > EARLY_REPORT_MILLIS
                        || recentReports.size() >= MAXIMUM_EARLY_REPORTS)) {
            recentReports.remove();
        }
        long sentMillis = now - reportAges.ageMillis(report.router(), report.sentMillis(), now);
        recentReports.add(new RecentReport(report, sentMillis));
        departures.values().forEach(departure -> departure.handleCopyReport(report, sentMillis));
    }
}
