package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.message.LeaveNotice;
import org.redwinghook.core.message.LeaveReport;
import org.redwinghook.core.relocation.LeaveNotices;
import org.redwinghook.core.relocation.ReportSchedule;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.StoreTrust;
import org.redwinghook.runtime.config.ConfigurationPeer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Learns from engines' own reports that they leave, while the store is not trusted or an engine behaves as if it left. The
 * router that reads a report informs the others.
 */
final class LeaveWatch implements AttemptObserver {

    /** Interval of checks whether reports are due, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 100;

    /** Interval at which engines that are no longer listed are forgotten, in milliseconds. */
    private static final long EXPIRY_INTERVAL_MILLIS = 5_000;

    /** Age of the values in a report, in milliseconds: reports show the state of some hundred milliseconds ago. */
    private static final long REPORT_AGE_MILLIS = 200;

    private static final Logger LOGGER = LoggerFactory.getLogger(LeaveWatch.class);

    private final ForwardContext context;
    private final RouterExchange exchange;
    private final EngineReports reports;
    private final StoreTrust storeTrust;
    private final String self;
    private final LeaveNotices notices = new LeaveNotices();
    private final ReportSchedule schedule;
    private long distrustedUntilMillis = Long.MIN_VALUE / 2;
    private long announcedFaults;
    private boolean isStoreTrusted = true;

    /**
     * Creates a watch.
     *
     * @param context shared services
     * @param exchange connections to the other routers
     * @param reports reads the engines' reports
     * @param storeTrust trust in this router's reads of the endpoints' records
     * @param self name of this router
     */
    LeaveWatch(
            ForwardContext context,
            RouterExchange exchange,
            EngineReports reports,
            StoreTrust storeTrust,
            String self) {
        this.context = context;
        this.exchange = exchange;
        this.reports = reports;
        this.storeTrust = storeTrust;
        this.self = self;
        this.schedule = new ReportSchedule(self);
    }

    void start() {
        exchange.register(LeaveReport.class, this::handleReport);
        exchange.onConnected(peer -> {
            LeaveReport known = new LeaveReport(0, notices.allNotices(now()));
            if (!known.notices().isEmpty()) {
                peer.send(known);
            }
        });
        context.observers().register(this);
        context.state().onChange((topic, changed) -> {
            if (topic == RecordTopic.ENDPOINTS) {
                // A notice may arrive before the entry of its endpoint.
                notices.allNotices(now()).forEach(this::apply);
            }
        });
        context.vertx().setPeriodic(CHECK_INTERVAL_MILLIS, ignored -> check());
        context.vertx().setPeriodic(EXPIRY_INTERVAL_MILLIS, ignored -> forgetUnlisted());
    }

    @Override
    public void handleResponseHead(CallerExchange caller, KnownEndpoint endpoint, ResponseHead head) {
        if (head.closesConnection()) {
            readAtOnce(endpoint, "connection_close");
        }
    }

    @Override
    public void handleEnd(
            CallerExchange caller, KnownEndpoint endpoint, AttemptOutcome outcome, long sinceStartMillis) {
        if (outcome == AttemptOutcome.UNREACHABLE) {
            readAtOnce(endpoint, "unreachable");
        }
    }

    private long now() {
        return context.clock().millis();
    }

    private void readAtOnce(KnownEndpoint endpoint, String cause) {
        EndpointEntry entry = endpoint.entry();
        if (!endpoint.isLeaving() && isEngine(entry) && schedule.tryTake(entry.incarnation(), now())) {
            LOGGER.info("report requested id={} cause={}", entry.id(), cause);
            read(entry);
        }
    }

    private boolean isEngine(EndpointEntry entry) {
        return context.selector().memory(entry.service()).capacityTokens() > 0;
    }

    private void check() {
        updateTrust();
        if (isStoreTrusted && notices.isEmpty()) {
            return;
        }
        long now = now();
        Map<String, EndpointEntry> watched = new HashMap<>();
        Set<String> overdue = new HashSet<>();
        for (EndpointEntry entry : context.state().endpoints().entries()) {
            if (notices.leaves(entry.incarnation())) {
                if (notices.isOverdue(entry.incarnation(), now)) {
                    overdue.add(entry.incarnation());
                }
            } else if (isStoreTrusted || entry.draining() || !hasWork(entry, now)) {
                continue;
            }
            watched.put(entry.incarnation(), entry);
        }
        Set<String> routers = exchange.connectedRouters();
        List<String> due =
                new ArrayList<>(schedule.takeDue(overdue, routers, ReportSchedule.SPARSE_INTERVAL_MILLIS, now));
        Set<String> serving = new HashSet<>(watched.keySet());
        serving.removeIf(notices::leaves);
        due.addAll(schedule.takeDue(serving, routers, ReportSchedule.READ_INTERVAL_MILLIS, now));
        due.forEach(incarnation -> read(watched.get(incarnation)));
    }

    private boolean hasWork(EndpointEntry entry, long now) {
        return context.ledger().workAt(entry.id(), now).running() > 0 && isEngine(entry);
    }

    private void updateTrust() {
        long now = now();
        long faults = storeTrust.faults(now);
        boolean isNewFault = faults > announcedFaults;
        announcedFaults = faults;
        if (isNewFault) {
            exchange.broadcast(new LeaveReport(StoreTrust.DISTRUST_MILLIS, List.of()));
        }
        boolean isOwnTrusted = storeTrust.isTrusted(exchange.isStoreReadByOthers(), now);
        boolean isTrusted = isOwnTrusted && now >= distrustedUntilMillis;
        if (isTrusted != isStoreTrusted) {
            isStoreTrusted = isTrusted;
            LOGGER.info("store trusted={} ownReads={}", isTrusted, isOwnTrusted);
            context.metrics().recordStoreTrust(isTrusted);
        }
    }

    private void handleReport(ConfigurationPeer peer, LeaveReport report) {
        if (report.distrustMillis() > 0) {
            long untilMillis = now() + Math.min(StoreTrust.DISTRUST_MILLIS, report.distrustMillis());
            distrustedUntilMillis = Math.max(distrustedUntilMillis, untilMillis);
        }
        List<LeaveNotice> changed = new ArrayList<>();
        for (LeaveNotice notice : report.notices()) {
            if (merge(notice)) {
                changed.add(notice);
            }
            LeaveNotice newer = notices.notice(LeaveNotices.incarnation(notice), now());
            if (notice.leaves() && newer != null && !newer.leaves()) {
                // The other router has missed the report that withdrew this notice.
                peer.send(new LeaveReport(0, List.of(newer)));
            }
        }
        if (!changed.isEmpty() && !exchange.isFullyConnected()) {
            exchange.broadcast(new LeaveReport(0, changed));
        }
    }

    private void read(EndpointEntry entry) {
        reports.read(entry)
                .onFailure(failure -> context.metrics().recordEngineReport("failed"))
                .onSuccess(report -> handleEngineReport(entry, report));
    }

    private void handleEngineReport(EndpointEntry entry, EngineReport report) {
        context.metrics().recordEngineReport(report.outlook().name());
        if (report.outlook() == EngineReport.Outlook.UNCLEAR) {
            return;
        }
        boolean leaves = report.outlook() == EngineReport.Outlook.LEAVES;
        long remainingMillis =
                report.remainingMillis() < 0 ? -1 : Math.max(0, report.remainingMillis() - REPORT_AGE_MILLIS);
        LeaveNotice notice = new LeaveNotice(entry.id(), entry.startedAtMillis(), leaves, 0, remainingMillis, self);
        if (merge(notice)) {
            exchange.broadcast(new LeaveReport(0, List.of(notice)));
        }
    }

    /** Merges a notice and returns whether it changed the state of its engine. */
    private boolean merge(LeaveNotice notice) {
        LeaveNotices.Change change = notices.merge(notice, now());
        if (change == LeaveNotices.Change.NONE) {
            return false;
        }
        LOGGER.info(
                "leave notice id={} born={} leaves={} source=report reader={} ageMillis={} remainingMillis={}",
                notice.endpoint(),
                notice.startedAtMillis(),
                notice.leaves(),
                notice.reader(),
                notice.ageMillis(),
                notice.remainingMillis());
        context.metrics()
                .recordLeaveNotice(
                        change == LeaveNotices.Change.LEAVES, notice.reader().equals(self));
        apply(notice);
        return true;
    }

    /** Applies the state of an engine to its entry, unless the entry is of another start. */
    private void apply(LeaveNotice notice) {
        KnownEndpoint endpoint =
                context.state().endpoints().find(notice.endpoint()).orElse(null);
        String incarnation = LeaveNotices.incarnation(notice);
        if (endpoint == null || !endpoint.entry().incarnation().equals(incarnation)) {
            return;
        }
        if (notices.leaves(incarnation)) {
            context.state().recordLeaveNotice(endpoint, notices.endMillis(incarnation));
        } else {
            endpoint.clearLeaveNotice();
        }
    }

    private void forgetUnlisted() {
        Set<String> listed = new HashSet<>();
        context.state().endpoints().entries().forEach(entry -> listed.add(entry.incarnation()));
        notices.removeUnlisted(listed, now());
        schedule.retain(listed);
    }
}
