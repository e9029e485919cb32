package org.redwinghook.router.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.origin.OriginDecision;
import org.redwinghook.core.origin.ServiceVersion;
import org.redwinghook.core.origin.StreamLifetimes;
import org.redwinghook.core.origin.StreamOrigin;
import org.redwinghook.core.origin.StreamOrigins;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Finds the software version at which a resumed stream may go on: in this router's memory, from the set of possible
 * versions, from the connected routers, then in the store. A stream whose version stays unknown, or has no endpoint left, is
 * refused. Confined to one event loop.
 */
final class ResumedStreams implements AttemptObserver {

    /** Longest wait of a resumed stream for the store, in milliseconds. */
    private static final long MAXIMUM_STORE_MILLIS = 1_000;

    /** Longest wait of a resumed stream for the store until the connected routers are asked, in milliseconds. */
    private static final long MAXIMUM_CONFIRMATION_MILLIS = 250;

    /** Interval at which a waiting request checks what has been read, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 20;

    private static final Logger LOGGER = LoggerFactory.getLogger(ResumedStreams.class);

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final VersionRecords records;
    private final StreamOrigins ownOrigins = new StreamOrigins();
    private final StreamOrigins otherOrigins = new StreamOrigins();
    private final OriginExchange exchange;
    private final OriginLog log;
    private final ForwardSelector selector;
    private final ForwardMetrics metrics;
    private final Set<String> servicesWithSeveralVersions = new HashSet<>();

    /** Source of the version of a resumed stream, as in the log and in metrics. */
    private enum Source {
        MEMORY,
        SINGLE_VERSION,
        ROUTERS,
        STORE
    }

    /** Creates the part that writes and reads the log of origins. */
    @FunctionalInterface
    interface LogFactory {

        /**
         * Creates the log.
         *
         * @param receiver receives the origins that the store has
         * @param readHandler called once when the log has been read
         * @return the log
         */
        OriginLog create(Consumer<StreamOrigin> receiver, Runnable readHandler);
    }

    /**
     * Creates the tracking of origins.
     *
     * @param vertx timers
     * @param clock monotonic clock
     * @param routerExchange connections to the other routers
     * @param records versions that may have begun streams
     * @param logFactory creates the log of origins
     * @param selector tells whether a version has endpoints left
     * @param metrics counters
     */
    ResumedStreams(
            Vertx vertx,
            MonotonicClock clock,
            RouterExchange routerExchange,
            VersionRecords records,
            LogFactory logFactory,
            ForwardSelector selector,
            ForwardMetrics metrics) {
        this.vertx = vertx;
        this.clock = clock;
        this.records = records;
        this.selector = selector;
        this.metrics = metrics;
        this.exchange = new OriginExchange(vertx, routerExchange, this::find, this::recordOther);
        this.log = logFactory.create(this::recordOther, () -> servicesWithSeveralVersions.forEach(this::logRecent));
        records.onCheck(this::update);
    }

    /**
     * Whether a request resumes a stream that an earlier attempt of the caller began.
     *
     * @param caller the request
     * @return false for a new stream, and on routes whose streams cannot be resumed
     */
    static boolean isResumed(CallerExchange caller) {
        return StreamLifetimes.isResumable(caller.route()) && caller.head().resumesStream();
    }

    @Override
    public void handleFirstForwardedEvent(CallerExchange caller, KnownEndpoint endpoint) {
        String version = caller.requiredVersion();
        if (version == null || !StreamLifetimes.isResumable(caller.route())) {
            return;
        }
        ServiceVersion begunAt = new ServiceVersion(caller.service(), version);
        recordOwn(new StreamOrigin(caller.requestId(), begunAt));
        String first = caller.head().firstAttempt();
        if (first != null && !first.equals(caller.requestId())) {
            // The caller goes on naming its first attempt when it resumes the stream again.
            recordOwn(new StreamOrigin(first, begunAt));
        }
    }

    private void recordOwn(StreamOrigin origin) {
        ownOrigins.record(origin, clock.millis());
        if (servicesWithSeveralVersions.contains(origin.begunAt().service())) {
            exchange.share(origin);
            log.add(origin);
        }
    }

    private void recordOther(StreamOrigin origin) {
        otherOrigins.record(origin, clock.millis());
    }

    private @Nullable String find(String service, String attempt) {
        return ownOrigins
                .find(service, attempt)
                .or(() -> otherOrigins.find(service, attempt))
                .orElse(null);
    }

    /** Follows the possible versions; when a service gets a second one, the streams that began before are sent. */
    private void update() {
        long oldestMillis = clock.millis() - records.lifetimes().longestMillis();
        ownOrigins.removeBefore(oldestMillis);
        otherOrigins.removeBefore(oldestMillis);
        for (String service : records.lifetimes().services()) {
            if (records.versions(service).size() < 2) {
                servicesWithSeveralVersions.remove(service);
                continue;
            }
            log.read();
            if (servicesWithSeveralVersions.add(service)) {
                LOGGER.info("several versions service={} versions={}", service, records.versions(service));
                recent(service).forEach(exchange::share);
                logRecent(service);
            }
        }
    }

    /** Writes the origins of recent streams again, since a store that came back from a copy may have lost them. */
    void handleEra() {
        servicesWithSeveralVersions.forEach(this::logRecent);
    }

    private List<StreamOrigin> recent(String service) {
        return ownOrigins.recordedSince(
                service, clock.millis() - records.lifetimes().millis(service));
    }

    private void logRecent(String service) {
        recent(service).forEach(log::add);
    }

    /**
     * Finds the version of a resumed stream. The request is refused if it may not go on anywhere.
     *
     * @param caller the request
     * @param proceed called when the request has been restricted to its version
     */
    void resolve(CallerExchange caller, Runnable proceed) {
        Resumption resumption = new Resumption(caller, proceed);
        if (resumption.tryProceed(Source.MEMORY)) {
            return;
        }
        if (records.versions(caller.service()).size() > 1) {
            resumption.askRouters();
            return;
        }
        resumption.confirm();
        awaitConfirmation(resumption);
    }

    /** Waits for the store to confirm that only one version can have begun the stream, before other routers are asked. */
    private void awaitConfirmation(Resumption resumption) {
        if (resumption.isOver() || resumption.tryProceed(Source.MEMORY)) {
            return;
        }
        if (resumption.isConfirming && clock.millis() < resumption.confirmUntilMillis) {
            vertx.setTimer(CHECK_INTERVAL_MILLIS, ignored -> awaitConfirmation(resumption));
            return;
        }
        resumption.askRouters();
    }

    private void awaitStore(Resumption resumption) {
        if (resumption.isOver() || resumption.tryProceed(Source.STORE)) {
            return;
        }
        log.read();
        if ((log.isRead() && resumption.isConfirmed) || clock.millis() >= resumption.untilMillis) {
            refuse(resumption, RefusalCause.ORIGIN_UNKNOWN);
            return;
        }
        resumption.confirm();
        vertx.setTimer(CHECK_INTERVAL_MILLIS, ignored -> awaitStore(resumption));
    }

    /** A resumed stream whose version is being looked for. */
    private final class Resumption {

        private final CallerExchange caller;
        private final Runnable proceed;
        private final @Nullable String attempt;
        private final long confirmUntilMillis;
        private final long untilMillis;
        private boolean isConfirming;
        private boolean isConfirmed;
        private boolean hasProceeded;

        Resumption(CallerExchange caller, Runnable proceed) {
            this.caller = caller;
            this.proceed = proceed;
            this.attempt = caller.head().firstAttempt();
            long now = clock.millis();
            this.confirmUntilMillis = now + Math.min(MAXIMUM_CONFIRMATION_MILLIS, caller.remainingMillis());
            this.untilMillis = now + Math.min(MAXIMUM_STORE_MILLIS, caller.remainingMillis());
        }

        boolean isOver() {
            return hasProceeded || caller.isEnded();
        }

        /** Asks the store whether a version is missing from those that are known, unless it was asked already. */
        void confirm() {
            if (isConfirming || isConfirmed) {
                return;
            }
            isConfirming = true;
            records.confirm(caller.service()).onComplete(complete -> {
                isConfirming = false;
                isConfirmed = complete.succeeded() && complete.result();
                if (isConfirmed && !isOver()) {
                    tryProceed(Source.STORE);
                }
            });
        }

        void askRouters() {
            if (attempt == null) {
                awaitStore(this);
                return;
            }
            exchange.ask(caller.service(), attempt).onSuccess(version -> {
                if (version != null) {
                    recordOther(new StreamOrigin(attempt, new ServiceVersion(caller.service(), version)));
                }
                if (!isOver() && !tryProceed(Source.ROUTERS)) {
                    awaitStore(this);
                }
            });
        }

        /** Lets the request go on, or refuses it for its version, if the version is known; returns whether it is. */
        boolean tryProceed(Source source) {
            String known = attempt == null ? null : find(caller.service(), attempt);
            Set<String> possible = records.versions(caller.service());
            OriginDecision decision = OriginDecision.of(known, possible, isConfirmed);
            Optional<String> version = decision.version(known, possible);
            if (version.isEmpty()) {
                return false;
            }
            hasProceeded = true;
            caller.requireVersion(version.get());
            if (selector.isVersionGone(caller)) {
                refuse(this, RefusalCause.VERSION_GONE);
                return true;
            }
            Source found = decision == OriginDecision.SINGLE ? Source.SINGLE_VERSION : source;
            metrics.recordResumedStream(caller.service(), found.name().toLowerCase(Locale.ROOT));
            LOGGER.info(
                    "stream resumed id={} attempt={} version={} source={}",
                    caller.requestId(),
                    attempt,
                    version.get(),
                    found);
            proceed.run();
            return true;
        }
    }

    private void refuse(Resumption resumption, RefusalCause cause) {
        CallerExchange caller = resumption.caller;
        metrics.recordResumedStream(caller.service(), cause.name().toLowerCase(Locale.ROOT));
        LOGGER.info(
                "stream not resumed id={} attempt={} service={} reason={} version={} possible={} logRead={}"
                        + " listConfirmed={}",
                caller.requestId(),
                resumption.attempt,
                caller.service(),
                cause,
                caller.requiredVersion(),
                records.versions(caller.service()),
                log.isRead(),
                resumption.isConfirmed);
        caller.refuse(new Refusal(cause, 0));
    }
}
