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
 * Brings one generation to one caller. Before the first token another endpoint may be tried; afterwards the generation
 * is the only one that the caller ever sees, and a lost connection to its sidecar is resumed. Each attempt has its own
 * listener, so that a late message of an earlier attempt is never taken for one of the current attempt.
 */
public final class GenerationDelivery {

    /** Tokens granted beyond what the caller's socket took. */
    public static final int CREDIT = 256;

    private static final int CREDIT_STEP = 64;
    private static final int MOST_RESUMES_WITHOUT_TOKEN = 5;
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
    private long taken;
    private long creditedThrough;
    private long lastTokenNanos;
    private long timeoutTimer = NO_TIMER;
    private long resumeTimer = NO_TIMER;
    private boolean mayHaveRun;
    private boolean anyToken;
    private boolean ended;
    private @Nullable Attempt current;
    private @Nullable Attempt resuming;
    private @Nullable Attempt finished;
    private @Nullable Refused lastRefusal;

    /**
     * Prepares a delivery.
     *
     * @param context what all deliveries share
     * @param customer customer of the caller
     * @param sink the caller
     */
    public GenerationDelivery(DeliveryContext context, String customer, GenerationSink sink) {
        this.context = context;
        this.customer = customer;
        this.sink = sink;
    }

    /**
     * Starts a generation at the best endpoint.
     *
     * @param submit request; its exchange number, timeout and credit are set at each attempt
     * @param endpoints endpoints that the request may try
     */
    public void start(Submit submit, EndpointCandidates endpoints) {
        template = submit;
        candidates = endpoints;
        begin();
        long timeoutMillis = submit.timeoutMillis() + context.timing().graceMillis();
        timeoutTimer = context.vertx().setTimer(timeoutMillis, ignored -> timedOut());
        tryEndpoints();
    }

    /**
     * Continues a generation that was started before, through this or another router.
     *
     * @param position last token that the caller has
     */
    public void resumeAfter(EventId position) {
        generation = position.generation();
        cursor = new DeliveryCursor(position.sequence());
        taken = position.sequence();
        begin();
        Optional<EndpointConnection> connection = context.directory().connection(position.vm());
        if (connection.isPresent()) {
            resume(new Attempt(connection.get(), 0));
        } else if (context.directory().isListRead()) {
            refuse(RefusalReason.UNKNOWN_GENERATION, "generation " + generation + " is not known", 0);
        } else {
            refuse(RefusalReason.NO_ENDPOINT, "the router does not know its endpoints yet", RETRY_AFTER_MILLIS);
        }
    }

    /**
     * Grants more tokens after the caller's socket took some.
     *
     * @param deliveredThrough last sequence number that the socket took
     */
    public void socketTook(long deliveredThrough) {
        taken = Math.max(taken, deliveredThrough);
        acknowledgeEnd();
        Attempt attempt = current;
        if (ended || attempt == null || taken - creditedThrough < CREDIT_STEP) {
            return;
        }
        creditedThrough = taken;
        attempt.connection.send(new Credit(attempt.exchange, taken, taken + CREDIT));
    }

    /** The caller went away. */
    public void callerGone() {
        if (!ended) {
            end(true);
            sink.abandoned();
        }
    }

    private void begin() {
        context.metrics().generationRequested();
        context.running().add(this, this::abort);
    }

    private void abort(String detail) {
        if (ended) {
            return;
        }
        boolean sent = current != null || mayHaveRun;
        if (anyToken) {
            interrupt(detail);
        } else if (sent) {
            outcomeUnknown(detail);
        } else {
            refuse(RefusalReason.LEAVING, detail, RETRY_AFTER_MILLIS);
        }
    }

    private void timedOut() {
        timeoutTimer = NO_TIMER;
        if (ended || anyToken) {
            return;
        }
        if (current == null && !mayHaveRun) {
            refuseWithLast();
            return;
        }
        // The submit frame was written, so the engine may have started although no token came back.
        outcomeUnknown("no token arrived within the timeout; the generation may have started");
    }

    private void tryEndpoints() {
        Submit request = template;
        EndpointCandidates endpoints = candidates;
        if (request == null || endpoints == null) {
            noEndpointLeft();
            return;
        }
        for (var next = endpoints.next(); next.isPresent(); next = endpoints.next()) {
            if (submitTo(next.get(), request)) {
                return;
            }
        }
        noEndpointLeft();
    }

    private void noEndpointLeft() {
        Attempt lost = resuming;
        if (lost != null && !generation.isEmpty()) {
            resume(lost);
        } else if (mayHaveRun) {
            outcomeUnknown("the generation started and was lost before its first token");
        } else {
            refuseWithLast();
        }
    }

    private boolean submitTo(EndpointConnection connection, Submit request) {
        Attempt attempt = new Attempt(connection, connection.incarnation());
        Optional<Long> exchange = connection.start(attempt, number -> submit(number, request));
        if (exchange.isEmpty()) {
            return false;
        }
        attempt.exchange = exchange.get();
        current = attempt;
        resuming = null;
        generation = "";
        return true;
    }

    private Submit submit(long exchange, Submit request) {
        long elapsed = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos);
        return new Submit(
                exchange,
                request.service(),
                request.owner(),
                request.customer(),
                request.priority(),
                Math.max(1, request.timeoutMillis() - elapsed),
                CREDIT,
                request.generation(),
                null);
    }

    private void resume(Attempt lost) {
        current = null;
        if (resumesWithoutToken >= MOST_RESUMES_WITHOUT_TOKEN) {
            resumeFailed("the generation was resumed " + resumesWithoutToken + " times without a token");
            return;
        }
        resumesWithoutToken++;
        if (resumeTimer == NO_TIMER) {
            lost.connection.retain();
            long limit = context.timing().resumeMillis();
            resumeTimer = context.vertx().setTimer(limit, ignored -> {
                lost.connection.release();
                resumeTimer = NO_TIMER;
                resumeFailed("the endpoint could not be reached again within " + limit + " ms");
            });
        }
        resuming = lost;
        lost.connection.whenReady().onComplete(result -> {
            if (ended || resuming != lost) {
                return;
            }
            if (result.failed()) {
                resumeFailed("the endpoint is gone");
            } else {
                sendResume(lost);
            }
        });
    }

    private void sendResume(Attempt lost) {
        EndpointConnection connection = lost.connection;
        if (lost.incarnation != 0 && lost.incarnation != connection.incarnation()) {
            resumeFailed("the endpoint's sidecar restarted");
            return;
        }
        context.metrics().resumed();
        Attempt attempt = new Attempt(connection, connection.incarnation());
        int credit = (int) Math.max(0, taken + CREDIT - cursor.lastDeliveredSequence());
        Optional<Long> exchange = connection.start(
                attempt, number -> new Resume(number, generation, cursor.lastDeliveredSequence(), customer, credit));
        if (exchange.isEmpty()) {
            resumeFailed("the endpoint is gone");
            return;
        }
        attempt.exchange = exchange.get();
        attempt.isResume = true;
        creditedThrough = taken;
        current = attempt;
    }

    private void resumeFailed(String detail) {
        if (ended) {
            return;
        }
        if (anyToken || template == null) {
            interrupt(detail);
        } else {
            outcomeUnknown(detail);
        }
    }

    private void receive(Attempt attempt, Message message) {
        if (message instanceof Accepted accepted) {
            accepted(attempt, accepted);
        } else if (message instanceof Tokens tokens) {
            deliver(attempt, tokens);
        } else if (message instanceof Finished end) {
            finish(attempt, end);
        } else if (message instanceof Interrupted interrupted) {
            interrupted(attempt, interrupted);
        } else if (message instanceof Refused refused) {
            refused(attempt, refused);
        }
    }

    private void accepted(Attempt attempt, Accepted accepted) {
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
        resuming = null;
    }

    private void deliver(Attempt attempt, Tokens tokens) {
        long first = cursor.lastDeliveredSequence() + 1;
        Either<Long, List<String>> taking = cursor.advance(tokens.firstSequence(), tokens.texts());
        if (taking.isLeft()) {
            requestAgain(attempt);
            return;
        }
        if (taking.get().isEmpty()) {
            return;
        }
        noteArrival();
        sink.tokens(generation, first, taking.get());
    }

    private void noteArrival() {
        long now = System.nanoTime();
        if (anyToken) {
            context.metrics().tokenGap(now - lastTokenNanos);
        } else {
            context.metrics().firstToken(now - startedNanos);
            cancelTimer(timeoutTimer);
            timeoutTimer = NO_TIMER;
        }
        lastTokenNanos = now;
        anyToken = true;
        mayHaveRun = true;
        resumesWithoutToken = 0;
    }

    /** Tokens are missing, so the exchange is replaced by one that starts after the last token delivered. */
    private void requestAgain(Attempt attempt) {
        attempt.connection.cancel(attempt.exchange, false);
        resume(attempt);
    }

    private void finish(Attempt attempt, Finished end) {
        if (end.lastSequence() > cursor.lastDeliveredSequence()) {
            requestAgain(attempt);
            return;
        }
        if (end.lastSequence() < cursor.lastDeliveredSequence()) {
            interrupt("the endpoint counts fewer tokens than it sent");
            return;
        }
        finished = attempt;
        end(false);
        sink.finished(generation, end.reason(), end.usage());
        acknowledgeEnd();
    }

    /** Tells the sidecar that the caller has everything, so that the output need not be kept longer. */
    private void acknowledgeEnd() {
        Attempt attempt = finished;
        if (attempt != null && taken >= cursor.lastDeliveredSequence()) {
            finished = null;
            attempt.connection.send(
                    new Credit(attempt.exchange, cursor.lastDeliveredSequence(), cursor.lastDeliveredSequence()));
        }
    }

    private void interrupted(Attempt attempt, Interrupted interrupted) {
        if (interrupted.lastSequence() > cursor.lastDeliveredSequence()) {
            requestAgain(attempt);
            return;
        }
        mayHaveRun = true;
        current = null;
        if (mayStartAnew()) {
            generation = "";
            tryEndpoints();
            return;
        }
        interrupt(interrupted.detail());
    }

    private void refused(Attempt attempt, Refused refused) {
        if (attempt.isResume) {
            if (template == null && !anyToken) {
                refuse(refused.reason(), refused.detail(), refused.retryAfterMillis());
            } else {
                resumeFailed(refused.detail());
            }
            return;
        }
        current = null;
        lastRefusal = refused;
        if (refused.reason().isRetryableElsewhere()) {
            tryEndpoints();
        } else {
            noEndpointLeft();
        }
    }

    private void connectionLost(Attempt attempt) {
        current = null;
        mayHaveRun = true;
        if (!mayStartAnew()) {
            resume(attempt);
            return;
        }
        resuming = generation.isEmpty() ? null : attempt;
        tryEndpoints();
    }

    private boolean mayStartAnew() {
        return template != null && !anyToken;
    }

    private void interrupt(String detail) {
        context.metrics().interrupted();
        end(false);
        sink.interrupted(detail, cursor.lastDeliveredSequence());
    }

    private void outcomeUnknown(String detail) {
        context.metrics().outcomeUnknown();
        end(true);
        sink.unknown(detail);
    }

    private void refuseWithLast() {
        Refused last = lastRefusal;
        if (last == null) {
            refuse(RefusalReason.NO_ENDPOINT, "no endpoint takes new work", RETRY_AFTER_MILLIS);
        } else {
            refuse(last.reason(), last.detail(), last.retryAfterMillis());
        }
    }

    private void refuse(RefusalReason reason, String detail, long retryAfterMillis) {
        context.metrics().refused(reason);
        end(true);
        sink.refused(reason, detail, retryAfterMillis);
    }

    private void end(boolean callerGone) {
        ended = true;
        context.running().remove(this);
        cancelTimer(timeoutTimer);
        Attempt attempt = current != null ? current : resuming;
        if (attempt == null) {
            return;
        }
        stopResumeTimer(attempt);
        attempt.connection.cancel(attempt.exchange, callerGone);
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
        public void message(Message message) {
            if (ended || current != this) {
                context.metrics().messageDropped();
                return;
            }
            receive(this, message);
        }

        @Override
        public void connectionLost() {
            if (!ended && current == this) {
                GenerationDelivery.this.connectionLost(this);
            }
        }
    }
}
