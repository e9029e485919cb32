package org.redwinghook.router.generation;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.Credit;
import org.redwinghook.core.message.Finished;
import org.redwinghook.core.message.Interrupted;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Resume;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.message.Tokens;
import org.redwinghook.core.stream.DeliveryCursor;
import org.redwinghook.core.stream.EventId;
import org.redwinghook.router.endpoint.DeliveryContext;
import org.redwinghook.router.endpoint.EndpointCandidates;
import org.redwinghook.router.endpoint.EndpointConnection;
import org.redwinghook.router.endpoint.ExchangeListener;

/**
 * Delivers one generation to one caller. Before the first token, the request may be retried at another endpoint. After
 * it, the caller receives tokens of this generation only, and a lost connection to its sidecar is resumed. Each attempt
 * has its own listener, so that a late message of an earlier attempt is never attributed to the current one.
 */
public final class GenerationDelivery {

    /** Tokens granted to the sidecar beyond those written to the caller's socket. */
    public static final int CREDIT_TOKENS = 256;

    /** Tokens written to the caller's socket after which the credit is renewed. */
    private static final int CREDIT_STEP_TOKENS = 64;
    /** Consecutive resumes without a new token after which a generation is no longer resumed. */
    private static final int MAXIMUM_RESUMES_WITHOUT_TOKEN = 5;

    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final long NO_TIMER = -1;

    private final DeliveryContext context;
    private final String customer;
    private final GenerationSink sink;
    private final long startedNanos = System.nanoTime();
    private @Nullable Submit template;
    private @Nullable EndpointCandidates candidates;
    private DeliveryCursor cursor = new DeliveryCursor(0);
    private String generation = "";
    private int resumesWithoutToken;
    private long writtenThrough;
    private long creditedThrough;
    private long lastTokenNanos;
    private long timeoutTimer = NO_TIMER;
    private long resumeTimer = NO_TIMER;
    private boolean mayHaveRun;
    private boolean hasReceivedTokens;
    private boolean isClosed;
    private @Nullable Attempt currentAttempt;
    private @Nullable Attempt resumingAttempt;
    private @Nullable Attempt finishedAttempt;
    private @Nullable Refused lastRefusal;

    /**
     * Creates a delivery that has not started.
     *
     * @param context dependencies shared by all deliveries
     * @param customer name of the caller's customer
     * @param sink receives the generation for the caller
     */
    public GenerationDelivery(DeliveryContext context, String customer, GenerationSink sink) {
        this.context = context;
        this.customer = customer;
        this.sink = sink;
    }

    /**
     * Starts a generation at the best available endpoint.
     *
     * @param submit the request; its exchange number, timeout and credit are set for each attempt
     * @param endpoints selects the endpoints to try
     */
    public void start(Submit submit, EndpointCandidates endpoints) {
        template = submit;
        candidates = endpoints;
        register();
        long timeoutMillis = submit.timeoutMillis() + context.timing().graceMillis();
        timeoutTimer = context.vertx().setTimer(timeoutMillis, ignored -> timeOut());
        tryEndpoints();
    }

    /**
     * Resumes a generation that was started earlier through this or another router.
     *
     * @param position identifier of the last event that the caller received
     */
    public void resumeAfter(EventId position) {
        generation = position.generation();
        cursor = new DeliveryCursor(position.sequence());
        writtenThrough = position.sequence();
        register();
        Optional<EndpointConnection> connection = context.directory().connection(position.vm());
        if (connection.isPresent()) {
            resume(new Attempt(connection.get(), 0));
        } else if (context.directory().isVmListRead()) {
            refuse(RefusalReason.UNKNOWN_GENERATION, "generation " + generation + " is not known", 0);
        } else {
            refuse(RefusalReason.NO_ENDPOINT, "the router does not know its endpoints yet", RETRY_AFTER_MILLIS);
        }
    }

    /**
     * Records tokens written to the caller's socket and grants the sidecar more credit.
     *
     * @param sequence last sequence number written
     */
    public void recordWritten(long sequence) {
        writtenThrough = Math.max(writtenThrough, sequence);
        acknowledgeCompletion();
        Attempt attempt = currentAttempt;
        if (isClosed || attempt == null || writtenThrough - creditedThrough < CREDIT_STEP_TOKENS) {
            return;
        }
        creditedThrough = writtenThrough;
        attempt.connection.send(new Credit(attempt.exchange, writtenThrough, writtenThrough + CREDIT_TOKENS));
    }

    /** Cancels the generation after the caller's connection has closed. */
    public void handleCallerGone() {
        if (!isClosed) {
            close(true);
            sink.onCallerGone();
        }
    }

    private void register() {
        context.metrics().recordGenerationRequest();
        context.runningDeliveries().add(this, this::abort);
    }

    private void abort(String detail) {
        if (isClosed) {
            return;
        }
        boolean isSent = currentAttempt != null || mayHaveRun;
        if (hasReceivedTokens) {
            interrupt(detail);
        } else if (isSent) {
            reportUnknownOutcome(detail);
        } else {
            refuse(RefusalReason.LEAVING, detail, RETRY_AFTER_MILLIS);
        }
    }

    private void timeOut() {
        timeoutTimer = NO_TIMER;
        if (isClosed || hasReceivedTokens) {
            return;
        }
        if (currentAttempt == null && !mayHaveRun) {
            refuseWithLastRefusal();
            return;
        }
        // The submit frame was written, so the engine may have started although no token arrived.
        reportUnknownOutcome("no token arrived within the timeout; the generation may have started");
    }

    private void tryEndpoints() {
        Submit request = template;
        EndpointCandidates endpoints = candidates;
        if (request == null || endpoints == null) {
            handleNoEndpointLeft();
            return;
        }
        for (var next = endpoints.next(); next.isPresent(); next = endpoints.next()) {
            if (submitTo(next.get(), request)) {
                return;
            }
        }
        handleNoEndpointLeft();
    }

    private void handleNoEndpointLeft() {
        Attempt lostAttempt = resumingAttempt;
        if (lostAttempt != null && !generation.isEmpty()) {
            resume(lostAttempt);
        } else if (mayHaveRun) {
            reportUnknownOutcome("the generation started and was lost before its first token");
        } else {
            refuseWithLastRefusal();
        }
    }

    private boolean submitTo(EndpointConnection connection, Submit request) {
        Attempt attempt = new Attempt(connection, connection.incarnation());
        Optional<Long> exchange = connection.startExchange(attempt, number -> createSubmit(number, request));
        if (exchange.isEmpty()) {
            return false;
        }
        attempt.exchange = exchange.get();
        currentAttempt = attempt;
        resumingAttempt = null;
        generation = "";
        return true;
    }

    private Submit createSubmit(long exchange, Submit request) {
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        return new Submit(
                exchange,
                request.service(),
                request.owner(),
                request.customer(),
                request.priority(),
                Math.max(1, request.timeoutMillis() - elapsedMillis),
                CREDIT_TOKENS,
                request.generation(),
                null);
    }

    private void resume(Attempt lostAttempt) {
        currentAttempt = null;
        if (resumesWithoutToken >= MAXIMUM_RESUMES_WITHOUT_TOKEN) {
            handleResumeFailure("the generation was resumed " + resumesWithoutToken + " times without a token");
            return;
        }
        resumesWithoutToken++;
        if (resumeTimer == NO_TIMER) {
            lostAttempt.connection.retain();
            long limitMillis = context.timing().resumeMillis();
            resumeTimer = context.vertx().setTimer(limitMillis, ignored -> {
                lostAttempt.connection.release();
                resumeTimer = NO_TIMER;
                handleResumeFailure("the endpoint could not be reached again within " + limitMillis + " ms");
            });
        }
        resumingAttempt = lostAttempt;
        lostAttempt.connection.whenReady().onComplete(result -> {
            if (isClosed || resumingAttempt != lostAttempt) {
                return;
            }
            if (result.failed()) {
                handleResumeFailure("the endpoint is gone");
            } else {
                sendResume(lostAttempt);
            }
        });
    }

    private void sendResume(Attempt lostAttempt) {
        EndpointConnection connection = lostAttempt.connection;
        if (lostAttempt.incarnation != 0 && lostAttempt.incarnation != connection.incarnation()) {
            handleResumeFailure("the endpoint's sidecar restarted");
            return;
        }
        context.metrics().recordResume();
        Attempt attempt = new Attempt(connection, connection.incarnation());
        int credit = (int) Math.max(0, writtenThrough + CREDIT_TOKENS - cursor.lastDeliveredSequence());
        Optional<Long> exchange = connection.startExchange(
                attempt, number -> new Resume(number, generation, cursor.lastDeliveredSequence(), customer, credit));
        if (exchange.isEmpty()) {
            handleResumeFailure("the endpoint is gone");
            return;
        }
        attempt.exchange = exchange.get();
        attempt.isResume = true;
        creditedThrough = writtenThrough;
        currentAttempt = attempt;
    }

    private void handleResumeFailure(String detail) {
        if (isClosed) {
            return;
        }
        if (hasReceivedTokens || template == null) {
            interrupt(detail);
        } else {
            reportUnknownOutcome(detail);
        }
    }

    private void handleMessage(Attempt attempt, Message message) {
        if (message instanceof Accepted accepted) {
            handleAccepted(attempt, accepted);
        } else if (message instanceof Tokens tokens) {
            handleTokens(attempt, tokens);
        } else if (message instanceof Finished finished) {
            handleFinished(attempt, finished);
        } else if (message instanceof Interrupted interrupted) {
            handleInterrupted(attempt, interrupted);
        } else if (message instanceof Refused refused) {
            handleRefused(attempt, refused);
        }
    }

    private void handleAccepted(Attempt attempt, Accepted accepted) {
        mayHaveRun = true;
        if (!attempt.isResume) {
            generation = accepted.generation();
            return;
        }
        if (!generation.equals(accepted.generation())) {
            interrupt("the endpoint answered for another generation");
            return;
        }
        stopResumeTimer(attempt);
        resumingAttempt = null;
    }

    private void handleTokens(Attempt attempt, Tokens tokens) {
        long firstSequence = cursor.lastDeliveredSequence() + 1;
        Either<Long, List<String>> newTexts = cursor.advance(tokens.firstSequence(), tokens.texts());
        if (newTexts.isLeft()) {
            requestMissingTokens(attempt);
            return;
        }
        if (newTexts.get().isEmpty()) {
            return;
        }
        recordTokenArrival();
        sink.onTokens(generation, firstSequence, newTexts.get());
    }

    private void recordTokenArrival() {
        long now = System.nanoTime();
        if (hasReceivedTokens) {
            context.metrics().recordTokenGap(now - lastTokenNanos);
        } else {
            context.metrics().recordFirstToken(now - startedNanos);
            cancelTimer(timeoutTimer);
            timeoutTimer = NO_TIMER;
        }
        lastTokenNanos = now;
        hasReceivedTokens = true;
        mayHaveRun = true;
        resumesWithoutToken = 0;
    }

    /** Replaces an exchange with missing tokens by one that resumes after the last delivered token. */
    private void requestMissingTokens(Attempt attempt) {
        attempt.connection.cancelExchange(attempt.exchange, false);
        resume(attempt);
    }

    private void handleFinished(Attempt attempt, Finished finished) {
        if (finished.lastSequence() > cursor.lastDeliveredSequence()) {
            requestMissingTokens(attempt);
            return;
        }
        if (finished.lastSequence() < cursor.lastDeliveredSequence()) {
            interrupt("the endpoint counts fewer tokens than it sent");
            return;
        }
        finishedAttempt = attempt;
        close(false);
        sink.onFinished(generation, finished.reason(), finished.usage());
        acknowledgeCompletion();
    }

    /** Confirms to the sidecar that the whole output has been written to the caller, so that it can be discarded. */
    private void acknowledgeCompletion() {
        Attempt attempt = finishedAttempt;
        if (attempt != null && writtenThrough >= cursor.lastDeliveredSequence()) {
            finishedAttempt = null;
            attempt.connection.send(
                    new Credit(attempt.exchange, cursor.lastDeliveredSequence(), cursor.lastDeliveredSequence()));
        }
    }

    private void handleInterrupted(Attempt attempt, Interrupted interrupted) {
        if (interrupted.lastSequence() > cursor.lastDeliveredSequence()) {
            requestMissingTokens(attempt);
            return;
        }
        mayHaveRun = true;
        currentAttempt = null;
        if (mayRestart()) {
            generation = "";
            tryEndpoints();
            return;
        }
        interrupt(interrupted.detail());
    }

    private void handleRefused(Attempt attempt, Refused refused) {
        if (attempt.isResume) {
            if (template == null && !hasReceivedTokens) {
                refuse(refused.reason(), refused.detail(), refused.retryAfterMillis());
            } else {
                handleResumeFailure(refused.detail());
            }
            return;
        }
        currentAttempt = null;
        lastRefusal = refused;
        if (refused.reason().isRetryableElsewhere()) {
            tryEndpoints();
        } else {
            handleNoEndpointLeft();
        }
    }

    private void handleConnectionLost(Attempt attempt) {
        currentAttempt = null;
        mayHaveRun = true;
        if (!mayRestart()) {
            resume(attempt);
            return;
        }
        resumingAttempt = generation.isEmpty() ? null : attempt;
        tryEndpoints();
    }

    private boolean mayRestart() {
        return template != null && !hasReceivedTokens;
    }

    private void interrupt(String detail) {
        context.metrics().recordInterruption();
        close(false);
        sink.onInterrupted(detail, cursor.lastDeliveredSequence());
    }

    private void reportUnknownOutcome(String detail) {
        context.metrics().recordUnknownOutcome();
        close(true);
        sink.onUnknownOutcome(detail);
    }

    private void refuseWithLastRefusal() {
        Refused last = lastRefusal;
        if (last == null) {
            refuse(RefusalReason.NO_ENDPOINT, "no endpoint takes new work", RETRY_AFTER_MILLIS);
        } else {
            refuse(last.reason(), last.detail(), last.retryAfterMillis());
        }
    }

    private void refuse(RefusalReason reason, String detail, long retryAfterMillis) {
        context.metrics().recordRefusal(reason);
        close(true);
        sink.onRefused(reason, detail, retryAfterMillis);
    }

    private void close(boolean callerGone) {
        isClosed = true;
        context.runningDeliveries().remove(this);
        cancelTimer(timeoutTimer);
        Attempt attempt = currentAttempt != null ? currentAttempt : resumingAttempt;
        if (attempt == null) {
            return;
        }
        stopResumeTimer(attempt);
        attempt.connection.cancelExchange(attempt.exchange, callerGone);
    }

    private void stopResumeTimer(Attempt attempt) {
        if (resumeTimer != NO_TIMER) {
            cancelTimer(resumeTimer);
            resumeTimer = NO_TIMER;
            attempt.connection.release();
        }
    }

    private void cancelTimer(long timer) {
        if (timer != NO_TIMER) {
            context.vertx().cancelTimer(timer);
        }
    }

    /** One exchange with one sidecar. */
    private final class Attempt implements ExchangeListener {

        private final EndpointConnection connection;
        private final long incarnation;
        private long exchange;
        private boolean isResume;

        Attempt(EndpointConnection connection, long incarnation) {
            this.connection = connection;
            this.incarnation = incarnation;
        }

        @Override
        public void onMessage(Message message) {
            if (isClosed || currentAttempt != this) {
                context.metrics().recordDroppedMessage();
                return;
            }
            handleMessage(this, message);
        }

        @Override
        public void onConnectionLost() {
            if (!isClosed && currentAttempt == this) {
                GenerationDelivery.this.handleConnectionLost(this);
            }
        }
    }
}
