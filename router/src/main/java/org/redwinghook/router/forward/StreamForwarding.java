package org.redwinghook.router.forward;

import java.util.Optional;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementPolicy;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.RunningRequest;
import org.redwinghook.core.relocation.RunAtEngine;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards a stream event by event. The caller gets only whole events, each once; the answer begins with the first
 * event, and it ends as complete only if the endpoint ended it.
 */
final class StreamForwarding {

    private static final Logger LOGGER = LoggerFactory.getLogger(StreamForwarding.class);

    /** Time after which a refused caller finds room again, in milliseconds: about a prompt's reading. */
    private static final long RETRY_AFTER_MILLIS = 500;

    /** Output tokens of one event; from the engines' data sheet. */
    private static final long TOKENS_PER_EVENT = 4;

    /** Time that an engine under usual load needs for an output token, in milliseconds; from its data sheet. */
    private static final double MILLIS_PER_TOKEN = 8;

    /** A run that is longer than expected is taken to go on for this fraction (1/n) of what it has produced. */
    private static final long LONGER_SHARE = 4;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final RunningStreams registry;
    private final PlacementQuery query;
    private final EndpointAttempts attempts;
    private @Nullable Attempt current;
    private boolean begun;
    private long events;
    private @Nullable String lastEventId;
    private @Nullable KnownEndpoint source;
    private @Nullable EndpointExchange prepared;
    private long firstEventMillis;
    private long lastEventMillis;
    private long largestGapMillis;
    private int continuations;

    StreamForwarding(ForwardContext context, CallerExchange caller, RunningStreams registry) {
        this.context = context;
        this.caller = caller;
        this.registry = registry;
        RequestHead head = caller.head();
        long expected = head.outputHint() > 0 ? head.outputHint() : head.mostOutputTokens();
        this.query = new PlacementQuery(head.promptTokens(), expected);
        this.attempts = new EndpointAttempts(context, caller, PlacementPolicy.GENERATION, query);
    }

    void start() {
        caller.onGone(this::cancel);
        caller.onTimeout(this::timedOut);
        caller.open();
        registry.add(this);
        context.retries().requestStarted(caller.service(), context.clock().millis());
        attempt();
    }

    /**
     * Endpoint that runs the stream.
     *
     * @return its entry, empty between endpoints
     */
    Optional<EndpointEntry> endpoint() {
        return Optional.ofNullable(current).map(attempt -> attempt.endpoint.entry());
    }

    CallerExchange caller() {
        return caller;
    }

    /**
     * The run as its engine holds it.
     *
     * @return sizes known so far
     */
    RunAtEngine run() {
        long produced = events * TOKENS_PER_EVENT;
        long remaining = Math.max(query.expectedOutputTokens() - produced, produced / LONGER_SHARE);
        return new RunAtEngine(
                caller.requestId(),
                query.promptTokens() + produced,
                remaining * MILLIS_PER_TOKEN,
                caller.route().mayRunAgain());
    }

    PlacementQuery query() {
        return query;
    }

    /** Notes that the run is about to be stopped by its endpoint, so that the end of its stream is no failure. */
    void expectStop(boolean stopping) {
        Attempt attempt = current;
        if (attempt != null) {
            attempt.stopping = stopping;
        }
    }

    /** Notes that the engine did not say whether it stopped the run; if the stream has ended, the run is lost there. */
    void stopFailed() {
        Attempt attempt = current;
        if (attempt == null) {
            return;
        }
        attempt.stopping = false;
        if (attempt.turn.over() && !caller.ended()) {
            attempt.broken(new IllegalStateException("the engine was lost while it stopped the run"));
        }
    }

    boolean stopped() {
        Attempt attempt = current;
        return attempt == null || attempt.turn.over();
    }

    /**
     * Opens a connection to the engine where the run is about to go on, which shortens the pause of a move.
     *
     * @param endpoint the engine
     */
    void prepare(KnownEndpoint endpoint) {
        closePrepared();
        EndpointExchange exchange = EndpointExchange.to(endpoint.entry());
        prepared = exchange;
        exchange.connect(context.client())
                .onFailure(failure -> LOGGER.info(
                        "no connection ahead id={} endpoint={} cause={}",
                        caller.requestId(),
                        endpoint.entry().id(),
                        failure.toString()));
    }

    private void closePrepared() {
        EndpointExchange unused = prepared;
        prepared = null;
        if (unused != null) {
            unused.close();
        }
    }

    private EndpointExchange exchangeWith(KnownEndpoint endpoint) {
        EndpointExchange ready = prepared;
        if (ready != null && ready.endpoint().isSameIncarnation(endpoint.entry())) {
            prepared = null;
            return ready;
        }
        return EndpointExchange.to(endpoint.entry());
    }

    /**
     * Goes on from a copy of the run's memory.
     *
     * @param endpoint where to go on
     * @param copy the copy
     * @param stoppedSource engine that stopped the run and still holds its memory, null if there is none
     */
    void continueAt(KnownEndpoint endpoint, MemoryCopy copy, @Nullable KnownEndpoint stoppedSource) {
        if (caller.ended()) {
            return;
        }
        cancel();
        source = stoppedSource;
        continuations++;
        Attempt attempt = new Attempt(endpoint, copy);
        current = attempt;
        attempt.start();
    }

    private void attempt() {
        Optional<KnownEndpoint> chosen = attempts.next();
        if (chosen.isEmpty()) {
            giveUp(attempts.noneLeft());
            return;
        }
        Attempt attempt = new Attempt(chosen.get(), null);
        current = attempt;
        attempt.start();
    }

    private void giveUp(RefusalCause cause) {
        if (begun) {
            abort("the stream cannot go on");
            return;
        }
        end();
        if (attempts.mayHaveRun()) {
            caller.fail("no endpoint left for a repeated request", false);
            return;
        }
        caller.refuse(new Refusal(cause, RETRY_AFTER_MILLIS));
    }

    private void timedOut() {
        boolean sent = current != null && current.turn.underWay();
        cancel();
        if (begun) {
            abort("the time ran out");
            return;
        }
        end();
        if (!attempts.mayHaveRun() && !sent) {
            caller.refuse(new Refusal(RefusalCause.NO_TIME, 0));
            return;
        }
        caller.fail("the time ran out", true);
    }

    private void abort(String cause) {
        end();
        caller.abort(cause);
    }

    private void end() {
        closePrepared();
        if (registry.remove(this) && begun) {
            LOGGER.info(
                    "stream ended id={} events={} firstEventMillis={} largestGapMillis={} continuations={}",
                    caller.requestId(),
                    events,
                    firstEventMillis,
                    largestGapMillis,
                    continuations);
        }
    }

    private void cancel() {
        Attempt attempt = current;
        if (attempt != null) {
            attempt.turn.end();
        }
        if (caller.ended()) {
            end();
        }
    }

    private void noteGap() {
        long now = context.clock().millis();
        if (events == 0) {
            firstEventMillis = caller.elapsedMillis();
        } else {
            largestGapMillis = Math.max(largestGapMillis, now - lastEventMillis);
        }
        lastEventMillis = now;
    }

    /** One endpoint's turn. */
    private final class Attempt {

        private final KnownEndpoint endpoint;
        private final @Nullable MemoryCopy copy;
        private final EndpointTurn turn;
        private final RunningRequest running;
        private final EventSplitter splitter = new EventSplitter();
        private @Nullable HttpClientResponse response;
        private boolean stopping;

        Attempt(KnownEndpoint endpoint, @Nullable MemoryCopy copy) {
            this.endpoint = endpoint;
            this.copy = copy;
            this.running =
                    new RunningRequest(endpoint.entry().id(), query.promptTokens(), query.expectedOutputTokens());
            this.turn = new EndpointTurn(context, caller, endpoint, exchangeWith(endpoint), running);
        }

        void start() {
            turn.begin();
            context.reportWork().run();
            turn.send(copy, lastEventId).onSuccess(this::answered).onFailure(this::failed);
        }

        private void answered(HttpClientResponse head) {
            if (turn.over()) {
                return;
            }
            ReplyHead reply = turn.reply(head);
            if (!turn.owns(reply)) {
                failed(new IllegalStateException("the answer is not the request's own"));
                return;
            }
            if (!reply.success()) {
                head.body().onSuccess(body -> refused(head, reply, body)).onFailure(this::failed);
                return;
            }
            response = head;
            head.exceptionHandler(this::failed);
            head.endHandler(ignored -> completed());
            head.handler(bytes -> received(head, bytes));
        }

        private void received(HttpClientResponse head, Buffer bytes) {
            if (turn.over()) {
                return;
            }
            for (EventSplitter.Event event : splitter.add(bytes)) {
                deliver(head, event);
            }
            if (caller.response().writeQueueFull()) {
                head.pause();
                caller.response().drainHandler(ignored -> head.resume());
            }
        }

        private void deliver(HttpClientResponse head, EventSplitter.Event event) {
            if (!begun) {
                begun = true;
                context.metrics().firstEvent(caller.service(), caller.elapsedMillis());
                caller.response()
                        .setStatusCode(head.statusCode())
                        .setChunked(true)
                        .headers()
                        .addAll(context.protocol().callerHeaders(head));
            }
            noteGap();
            caller.response().write(event.bytes());
            events++;
            running.recordProducedTokens(events * TOKENS_PER_EVENT);
            if (event.id() != null) {
                lastEventId = event.id();
            }
        }

        private void completed() {
            if (turn.over()) {
                return;
            }
            if ((stopping && !framed()) || splitter.partial() || !begun) {
                failed(new IllegalStateException("the stream ended before its last event"));
                return;
            }
            turn.end();
            end();
            endpoint.health().recordSuccess(context.clock().millis());
            caller.complete(endpoint.entry().id());
        }

        /** Whether the end of the body was marked; a run that an engine stops ends without such a mark. */
        private boolean framed() {
            HttpClientResponse head = response;
            return head != null
                    && (head.getHeader("Transfer-Encoding") != null || head.getHeader("Content-Length") != null);
        }

        private void refused(HttpClientResponse head, ReplyHead reply, Buffer body) {
            if (turn.over()) {
                return;
            }
            turn.end();
            attempts.answered();
            attempts.refused(endpoint);
            endpoint.health().recordFailure(context.clock().millis());
            LOGGER.info(
                    "endpoint refused id={} endpoint={} status={} notRun={} memory={}",
                    caller.requestId(),
                    endpoint.entry().id(),
                    reply.status(),
                    reply.notRun(),
                    copy != null);
            if (copy != null) {
                copyNotTaken(copy);
                return;
            }
            if (reply.notRun() || reply.status() == EndpointTurn.MISDIRECTED) {
                if (attempts.tryAnother(0)) {
                    attempt();
                    return;
                }
                giveUp(RefusalCause.ENDPOINTS_FULL);
                return;
            }
            attempts.noteRun();
            if (caller.route().mayRunAgain() && attempts.tryAnother(0)) {
                attempt();
                return;
            }
            end();
            turn.forward(head, body);
        }

        /** The copy was not used: the engine that stopped the run can still go on from its own memory. */
        private void copyNotTaken(MemoryCopy unused) {
            KnownEndpoint holder = source;
            if (holder != null && holder != endpoint) {
                continueAt(holder, unused, null);
                return;
            }
            abort("no endpoint goes on from the copy");
        }

        private void failed(Throwable failure) {
            if (turn.over()) {
                return;
            }
            turn.end();
            if (!stopping) {
                broken(failure);
            }
        }

        /** Goes on after a turn that ended without the end of the stream, if that is possible. */
        private void broken(Throwable failure) {
            LOGGER.info(
                    "stream broken id={} endpoint={} events={} lastEventId={} sent={} cause={}",
                    caller.requestId(),
                    turn.endpointId(),
                    events,
                    lastEventId,
                    turn.sent(),
                    failure.toString());
            attempts.failed(turn);
            if (!turn.sent() && copy != null) {
                copyNotTaken(copy);
                return;
            }
            if (!turn.sent() || (caller.route().mayRunAgain() && attempts.tryAnother(0))) {
                attempt();
                return;
            }
            if (begun) {
                abort("the endpoint broke the stream off");
                return;
            }
            end();
            caller.fail("the endpoint failed: " + failure.getMessage(), false);
        }
    }
}
