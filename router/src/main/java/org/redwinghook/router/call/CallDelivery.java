package org.redwinghook.router.call;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.CallRequest;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.OutcomeUnknown;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Submit;
import org.redwinghook.router.endpoint.DeliveryContext;
import org.redwinghook.router.endpoint.EndpointCandidates;
import org.redwinghook.router.endpoint.EndpointConnection;
import org.redwinghook.router.endpoint.ExchangeListener;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Delivers the answer of a plain service to one caller. A call that is not idempotent is retried at another endpoint
 * only after a refusal, which states that the call was not run. Each attempt has its own listener, so that a late
 * answer to an earlier attempt is dropped.
 */
public final class CallDelivery {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallDelivery.class);
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final DeliveryContext context;
    private final Submit template;
    private final CallRequest call;
    private final EndpointCandidates candidates;
    private final CallSink sink;
    private final long startedNanos = System.nanoTime();
    private long timeoutTimer;
    private boolean mayHaveRun;
    private boolean isClosed;
    private @Nullable Attempt currentAttempt;
    private @Nullable Refused lastRefusal;

    /**
     * Creates a delivery that has not started.
     *
     * @param context dependencies shared by all deliveries
     * @param template the request; its exchange number and timeout are set for each attempt
     * @param call the call
     * @param candidates selects the endpoints to try
     * @param sink receives the result of the call
     */
    public CallDelivery(
            DeliveryContext context, Submit template, CallRequest call, EndpointCandidates candidates, CallSink sink) {
        this.context = context;
        this.template = template;
        this.call = call;
        this.candidates = candidates;
        this.sink = sink;
    }

    /** Sends the call to the best available endpoint. */
    public void start() {
        context.metrics().recordCallRequest();
        context.runningDeliveries().add(this, this::abort);
        long timeoutMillis = template.timeoutMillis() + context.timing().graceMillis();
        timeoutTimer = context.vertx().setTimer(timeoutMillis, ignored -> abort("no answer arrived in time"));
        tryEndpoints();
    }

    /** Cancels the call after the caller's connection has closed. */
    public void handleCallerGone() {
        if (!isClosed) {
            close();
            sink.onCallerGone();
        }
    }

    private void abort(String detail) {
        if (isClosed) {
            return;
        }
        // Once the submit frame has been written, only the sidecar knows whether the call ran.
        if (currentAttempt != null || mayHaveRun) {
            reportUnknownOutcome(detail);
        } else {
            refuse();
        }
    }

    private void tryEndpoints() {
        for (var next = candidates.next(); next.isPresent(); next = candidates.next()) {
            if (submitTo(next.get())) {
                return;
            }
        }
        if (mayHaveRun) {
            reportUnknownOutcome("an earlier attempt of the call was lost and no endpoint is left");
        } else {
            refuse();
        }
    }

    private boolean submitTo(EndpointConnection connection) {
        Attempt attempt = new Attempt(connection);
        Optional<Long> exchange = connection.startExchange(attempt, this::createSubmit);
        if (exchange.isEmpty()) {
            return false;
        }
        attempt.exchange = exchange.get();
        currentAttempt = attempt;
        return true;
    }

    private void handleMessage(Message message) {
        if (message instanceof CallAnswer answer) {
            close();
            sink.onAnswer(answer);
        } else if (message instanceof OutcomeUnknown unknown) {
            handleLostAttempt(unknown.detail());
        } else if (message instanceof Refused refused) {
            handleRefused(refused);
        }
    }

    private void handleRefused(Refused refused) {
        logRefusedAttempt(refused);
        currentAttempt = null;
        lastRefusal = refused;
        if (refused.reason().isRetryableElsewhere()) {
            tryEndpoints();
        } else if (mayHaveRun) {
            reportUnknownOutcome("an earlier attempt of the call was lost");
        } else {
            refuse();
        }
    }

    private void logRefusedAttempt(Refused refused) {
        Attempt attempt = currentAttempt;
        EndpointLoad load = refused.load();
        if (!LOGGER.isDebugEnabled() || attempt == null || load == null) {
            return;
        }
        LOGGER.debug(
                "attempt refused vm={} exchange={} elapsedMillis={} running={} queued={} concurrencyLimit={} "
                        + "expectedWaitMillis={} reason={} detail={}",
                attempt.connection.member().vm(),
                attempt.exchange,
                elapsedMillis(),
                load.running(),
                load.queued(),
                load.concurrencyLimit(),
                load.expectedWaitMillis(),
                refused.reason(),
                refused.detail());
    }

    private void handleLostAttempt(String detail) {
        currentAttempt = null;
        mayHaveRun = true;
        if (call.idempotent()) {
            tryEndpoints();
            return;
        }
        reportUnknownOutcome(detail);
    }

    private Submit createSubmit(long exchange) {
        return new Submit(
                exchange,
                template.service(),
                template.owner(),
                template.customer(),
                template.priority(),
                Math.max(1, template.timeoutMillis() - elapsedMillis()),
                0,
                null,
                call);
    }

    private long elapsedMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
    }

    private void reportUnknownOutcome(String detail) {
        context.metrics().recordUnknownOutcome();
        close();
        sink.onUnknownOutcome(detail);
    }

    private void refuse() {
        Refused last = lastRefusal;
        RefusalReason reason = last == null ? RefusalReason.NO_ENDPOINT : last.reason();
        context.metrics().recordRefusal(reason);
        close();
        if (last == null) {
            sink.onRefused(reason, "no endpoint takes new work", RETRY_AFTER_MILLIS);
            return;
        }
        sink.onRefused(reason, last.detail(), last.retryAfterMillis());
    }

    private void close() {
        isClosed = true;
        context.vertx().cancelTimer(timeoutTimer);
        context.runningDeliveries().remove(this);
        Attempt attempt = currentAttempt;
        if (attempt != null) {
            attempt.connection.cancelExchange(attempt.exchange, true);
        }
    }

    /** One exchange with one sidecar. */
    private final class Attempt implements ExchangeListener {

        private final EndpointConnection connection;
        private long exchange;

        Attempt(EndpointConnection connection) {
            this.connection = connection;
        }

        @Override
        public void onMessage(Message message) {
            if (isClosed || currentAttempt != this) {
                context.metrics().recordDroppedMessage();
                return;
            }
            handleMessage(message);
        }

        @Override
        public void onConnectionLost() {
            if (!isClosed && currentAttempt == this) {
                handleLostAttempt("the connection to the endpoint was lost during the call");
            }
        }
    }
}
