package org.redwinghook.router.forward;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

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

    /** Longest time for connecting to an endpoint, in milliseconds; several round trips between regions. */
    private static final long CONNECT_MILLIS = 400;

    /** Endpoints that may be tried in vain before anything is sent. */
    private static final int MOST_CONNECTS = 4;

    /** Time after which a refused caller finds room again, in milliseconds: about a prompt's reading. */
    private static final long RETRY_AFTER_MILLIS = 500;

    /** Output tokens of one event; from the engines' data sheet. */
    private static final long TOKENS_PER_EVENT = 4;

    /** Time that an engine under usual load needs for an output token, in milliseconds; from its data sheet. */
    private static final double MILLIS_PER_TOKEN = 8;

    /** A run that is longer than expected is taken to go on for this fraction (1/n) of what it has produced. */
    private static final long LONGER_SHARE = 4;

    private static final int MISDIRECTED = 421;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final RunningStreams registry;
    private final Set<String> excluded = new HashSet<>();
    private final PlacementQuery query;
    private @Nullable Attempt current;
    private int sends;
    private int connects;
    private boolean mayHaveRun;
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
        long remaining = Math.max(query.outputTokens() - produced, produced / LONGER_SHARE);
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
        if (attempt.over && !caller.ended()) {
            attempt.over = false;
            attempt.failed(new IllegalStateException("the engine was lost while it stopped the run"));
        }
    }

    boolean stopped() {
        Attempt attempt = current;
        return attempt == null || attempt.over;
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
        if (ready != null && ready.endpoint().sameStart(endpoint.entry())) {
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
        Optional<KnownEndpoint> chosen = context.selector().choose(caller, PlacementPolicy.GENERATION, query, excluded);
        if (chosen.isEmpty() || connects >= MOST_CONNECTS) {
            giveUp(connects > 0 ? RefusalCause.ENDPOINTS_FULL : RefusalCause.NO_ENDPOINT);
            return;
        }
        connects++;
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
        if (mayHaveRun) {
            caller.fail("no endpoint left for a repeated request", false);
            return;
        }
        caller.refuse(new Refusal(cause, RETRY_AFTER_MILLIS));
    }

    private boolean mayRepeat() {
        return sends < caller.route().maxAttempts()
                && context.retries().tryRetry(caller.service(), context.clock().millis());
    }

    private void timedOut() {
        boolean sent = current != null && !current.over && current.exchange.sent();
        cancel();
        if (begun) {
            abort("the time ran out");
            return;
        }
        end();
        if (!mayHaveRun && !sent) {
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
            attempt.end();
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
        private final EndpointExchange exchange;
        private final RunningRequest running;
        private final EventSplitter splitter = new EventSplitter();
        private @Nullable HttpClientResponse response;
        private boolean stopping;
        private boolean over;

        Attempt(KnownEndpoint endpoint, @Nullable MemoryCopy copy) {
            this.endpoint = endpoint;
            this.copy = copy;
            this.exchange = exchangeWith(endpoint);
            this.running = new RunningRequest(endpoint.entry().id(), query.promptTokens(), query.outputTokens());
        }

        void start() {
            context.ledger().started(running);
            endpoint.pacing().sent(context.clock().millis());
            context.reportWork().run();
            EndpointRequestHead head = new EndpointRequestHead(
                    endpoint.entry().id(),
                    Math.max(1, caller.remainingMillis()),
                    caller.access() == null ? null : caller.access().customer(),
                    null,
                    null,
                    copy,
                    lastEventId);
            exchange.send(
                            context.client(),
                            Math.min(CONNECT_MILLIS, Math.max(1, caller.remainingMillis())),
                            caller.request().method(),
                            caller.request().uri(),
                            context.protocol().endpointHeaders(caller.request().headers(), head),
                            caller.body())
                    .onSuccess(this::answered)
                    .onFailure(this::failed);
        }

        void end() {
            over = true;
            context.ledger().ended(running);
            exchange.close();
        }

        private void answered(HttpClientResponse head) {
            if (over) {
                return;
            }
            ReplyHead reply = context.protocol().reply(head);
            if (reply.waiting() >= 0) {
                endpoint.reportWaiting(reply.waiting(), context.clock().millis());
            }
            if (!reply.intact() || !reply.belongsTo(caller.requestId())) {
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
            if (over) {
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
            running.produced(events * TOKENS_PER_EVENT);
            if (event.id() != null) {
                lastEventId = event.id();
            }
        }

        private void completed() {
            if (over) {
                return;
            }
            if ((stopping && !framed()) || splitter.partial() || !begun) {
                failed(new IllegalStateException("the stream ended before its last event"));
                return;
            }
            end();
            StreamForwarding.this.end();
            endpoint.health().succeeded(context.clock().millis());
            caller.complete(endpoint.entry().id());
        }

        /** Whether the end of the body was marked; a run that an engine stops ends without such a mark. */
        private boolean framed() {
            HttpClientResponse head = response;
            return head != null
                    && (head.getHeader("Transfer-Encoding") != null || head.getHeader("Content-Length") != null);
        }

        private void refused(HttpClientResponse head, ReplyHead reply, Buffer body) {
            if (over) {
                return;
            }
            end();
            sends++;
            excluded.add(endpoint.entry().id());
            long now = context.clock().millis();
            endpoint.health().failed(now);
            context.metrics().endpointFailed(caller.service(), "refused");
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
            if (reply.notRun() || reply.status() == MISDIRECTED) {
                if (mayRepeat()) {
                    attempt();
                    return;
                }
                giveUp(RefusalCause.ENDPOINTS_FULL);
                return;
            }
            mayHaveRun = true;
            if (caller.route().mayRunAgain() && mayRepeat()) {
                attempt();
                return;
            }
            StreamForwarding.this.end();
            caller.forward(
                    reply.status(),
                    context.protocol().callerHeaders(head),
                    body,
                    endpoint.entry().id());
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
            if (over) {
                return;
            }
            end();
            if (stopping) {
                return;
            }
            LOGGER.info(
                    "stream broken id={} endpoint={} events={} lastEventId={} sent={} cause={}",
                    caller.requestId(),
                    endpoint.entry().id(),
                    events,
                    lastEventId,
                    exchange.sent(),
                    failure.toString());
            excluded.add(endpoint.entry().id());
            context.metrics().endpointFailed(caller.service(), exchange.sent() ? "failed" : "unreachable");
            if (!exchange.sent()) {
                endpoint.health().unreachable(context.clock().millis());
                if (copy != null) {
                    copyNotTaken(copy);
                    return;
                }
                attempt();
                return;
            }
            sends++;
            mayHaveRun = true;
            endpoint.health().failed(context.clock().millis());
            if (caller.route().mayRunAgain() && mayRepeat()) {
                attempt();
                return;
            }
            if (begun) {
                abort("the endpoint broke the stream off");
                return;
            }
            StreamForwarding.this.end();
            caller.fail("the endpoint failed: " + failure.getMessage(), false);
        }
    }
}
