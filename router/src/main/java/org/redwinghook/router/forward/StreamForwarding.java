package org.redwinghook.router.forward;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.UnaryOperator;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpClosedException;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.dispatch.CapacityRule;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.placement.PlacementQuery;
import org.redwinghook.core.placement.RunningRequest;
import org.redwinghook.core.quarantine.QuarantinedPart;
import org.redwinghook.core.receive.PartAllowance;
import org.redwinghook.core.receive.ReceiveLimits;
import org.redwinghook.core.relocation.RunAtEngine;
import org.redwinghook.core.relocation.StopState;
import org.redwinghook.runtime.http.PacedRead;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Forwards a stream event by event. The caller receives only complete events, each once. The response begins with the
 * first event and ends as complete only if the endpoint completed it.
 */
final class StreamForwarding {

    private static final Logger LOGGER = LoggerFactory.getLogger(StreamForwarding.class);

    /** Time from the first event after which an endpoint has survived the beginning of the answer, in milliseconds. */
    private static final long ANSWER_BEGUN_MILLIS = 250;

    private static final int SERVICE_UNAVAILABLE = 503;

    /** Number of events and chunks of a stream that are forwarded at once; several seconds of an engine's output. */
    private static final int MAXIMUM_PARTS_AT_ONCE = 1_024;

    /** Number of events and chunks of a stream per millisecond that are forwarded in the long run. */
    private static final int MAXIMUM_PARTS_PER_MILLI = 5;

    /** Output tokens per event; from the engines' data sheet. */
    private static final long TOKENS_PER_EVENT = 4;

    /** A run that exceeds its expected output is assumed to produce another 1/n of its output so far. */
    private static final long OVERRUN_DIVISOR = 4;

    private final ForwardContext context;
    private final CallerExchange caller;
    private final RunningStreams runningStreams;
    private final PlacementQuery query;
    private final RequestAttempts attempts;
    private @Nullable StreamAttempt currentAttempt;
    private boolean responseStarted;
    private String startedMediaType = "";
    private long forwardedEvents;
    private @Nullable String lastEventId;
    private @Nullable KnownEndpoint stoppedSource;
    private @Nullable EndpointExchange preparedExchange;
    private long firstEventMillis;
    private long lastEventMillis;
    private long largestGapMillis;
    private int continuations;

    StreamForwarding(ForwardContext context, CallerExchange caller, RunningStreams runningStreams) {
        this.context = context;
        this.caller = caller;
        this.runningStreams = runningStreams;
        this.query = caller.head().expectedSize();
        this.attempts = new RequestAttempts(context, caller, CapacityRule.GENERATION, query);
    }

    void start() {
        caller.onDisconnect(this::handleDisconnect);
        caller.onTimeout(this::handleTimeout);
        caller.onInterruption(this::handleInterruption);
        runningStreams.add(this);
        context.retryBudgets().requestStarted(caller.service(), context.clock().millis());
        attempts.awaitFirstEndpoint(this::startAttempt, this::refuseOrFail);
    }

    /**
     * Endpoint that runs the stream.
     *
     * @return its entry, empty before the first attempt
     */
    Optional<EndpointEntry> endpoint() {
        return Optional.ofNullable(currentAttempt).map(attempt -> attempt.endpoint.entry());
    }

    CallerExchange caller() {
        return caller;
    }

    /**
     * Describes the run at its engine.
     *
     * @return its sizes, estimated from the events so far
     */
    RunAtEngine runAtEngine() {
        long producedTokens = forwardedEvents * TOKENS_PER_EVENT;
        long remainingTokens =
                Math.max(query.expectedOutputTokens() - producedTokens, producedTokens / OVERRUN_DIVISOR);
        return new RunAtEngine(
                caller.requestId(),
                query.promptTokens() + producedTokens,
                context.generationDurations().typicalOutputMillis(caller.service(), remainingTokens),
                caller.route().mayRunAgain());
    }

    /** Whether the run has produced events; before that, its prompt may still be in prefill. */
    boolean hasEvents() {
        return forwardedEvents > 0;
    }

    PlacementQuery query() {
        return query;
    }

    /**
     * Records what is known about the calls that ask the endpoint to stop the run.
     *
     * @param transition the change of the state
     */
    void recordStop(UnaryOperator<StopState> transition) {
        StreamAttempt attempt = currentAttempt;
        if (attempt != null) {
            attempt.stopState = transition.apply(attempt.stopState);
        }
    }

    /**
     * Handles a stop without a confirmation by the engine; if the stream has ended, the run is lost at that engine.
     *
     * @param transition the change of what is known about the stop
     */
    void handleStopFailure(UnaryOperator<StopState> transition) {
        recordStop(transition);
        StreamAttempt attempt = currentAttempt;
        if (attempt == null) {
            return;
        }
        if (attempt.endpointAttempt.isEnded() && !caller.isEnded()) {
            attempt.handleBrokenStream(new IllegalStateException("the engine was lost while it stopped the run"));
        }
    }

    boolean isStopped() {
        StreamAttempt attempt = currentAttempt;
        return attempt == null || attempt.endpointAttempt.isEnded();
    }

    /**
     * Opens a connection to the engine where the run is about to continue, which shortens the pause of a move.
     *
     * @param endpoint the engine
     */
    void openConnection(KnownEndpoint endpoint) {
        closePreparedExchange();
        EndpointExchange exchange = EndpointExchange.to(endpoint.entry());
        preparedExchange = exchange;
        exchange.connect(context.client())
                .onFailure(failure -> LOGGER.info(
                        "no connection ahead id={} endpoint={} cause={}",
                        caller.requestId(),
                        endpoint.entry().id(),
                        failure.toString()));
    }

    private void closePreparedExchange() {
        EndpointExchange unused = preparedExchange;
        preparedExchange = null;
        if (unused != null) {
            unused.close();
        }
    }

    private EndpointExchange exchangeWith(KnownEndpoint endpoint) {
        EndpointExchange ready = preparedExchange;
        if (ready != null && ready.endpoint().isSameIncarnation(endpoint.entry())) {
            preparedExchange = null;
            return ready;
        }
        return EndpointExchange.to(endpoint.entry());
    }

    /**
     * Continues from a copy of the run's memory.
     *
     * @param endpoint where to continue
     * @param copy the copy
     * @param source engine that stopped the run and still holds its memory, null if there is none
     */
    void continueAt(KnownEndpoint endpoint, MemoryCopy copy, @Nullable KnownEndpoint source) {
        if (caller.isEnded()) {
            return;
        }
        if (currentAttempt != null && currentAttempt.endpointAttempt.isInProgress()) {
            attempts.recordPossibleExecution();
        }
        cancel();
        stoppedSource = source;
        continuations++;
        StreamAttempt attempt = new StreamAttempt(endpoint, copy);
        currentAttempt = attempt;
        attempt.start();
    }

    private void startNextAttempt() {
        Optional<KnownEndpoint> chosen = attempts.chooseNextEndpoint();
        if (chosen.isEmpty()) {
            refuseOrFail(attempts.refusalCause());
            return;
        }
        startAttempt(chosen.get());
    }

    private void startAttempt(KnownEndpoint endpoint) {
        StreamAttempt attempt = new StreamAttempt(endpoint, null);
        currentAttempt = attempt;
        attempt.start();
    }

    private void refuseOrFail(RefusalCause cause) {
        if (responseStarted) {
            abort(
                    context.selector().isVersionGone(caller)
                            ? RefusalCause.VERSION_GONE.description()
                            : "no endpoint left to continue the stream");
            return;
        }
        end();
        if (attempts.mayHaveRun()) {
            caller.fail("no endpoint left for a repeated request", false);
            return;
        }
        attempts.recordEnd();
        caller.refuse(attempts.refusal(cause));
    }

    private void handleTimeout() {
        endIncomplete(new Refusal(RefusalCause.NO_TIME, 0), "the time ran out", true);
    }

    private void handleInterruption(Refusal refusal) {
        endIncomplete(refusal, refusal.cause().description(), false);
    }

    private void endIncomplete(Refusal refusal, String cause, boolean timedOut) {
        boolean sent = currentAttempt != null && currentAttempt.endpointAttempt.isInProgress();
        cancel();
        if (responseStarted) {
            abort(cause);
            return;
        }
        end();
        if (!attempts.mayHaveRun() && !sent) {
            attempts.recordEnd();
            caller.refuse(refusal);
            return;
        }
        caller.fail(cause, timedOut);
    }

    /**
     * Withdraws the request from its endpoint if it has a part that crashes endpoints and its answer has not begun. A
     * begun answer is not broken off, as the endpoint has crashed or survived by then.
     *
     * @param part the part
     */
    void withdraw(QuarantinedPart part) {
        if (attempts.isWaiting() && attempts.mayCrashEndpoint(part.part())) {
            attempts.recordWithdrawal(false, part);
            cancel();
            refuseOrFail(RefusalCause.PROMPT_PART_QUARANTINED);
            return;
        }
        StreamAttempt attempt = currentAttempt;
        if (attempt == null
                || attempt.endpointAttempt.isEnded()
                || caller.isEnded()
                || attempt.eventsOfAttempt > 0
                || !attempts.mayCrashEndpoint(part.part())) {
            return;
        }
        LOGGER.info(
                "request withdrawn id={} endpoint={} version={} part={} sent={}",
                caller.requestId(),
                attempt.endpointAttempt.endpointId(),
                attempt.endpointAttempt.version(),
                part.part(),
                attempt.endpointAttempt.isSent());
        attempts.recordWithdrawal(attempt.endpointAttempt.isSent(), part);
        cancel();
        refuseOrFail(RefusalCause.PROMPT_PART_QUARANTINED);
    }

    private void abort(String cause) {
        end();
        caller.abort(cause);
    }

    private void end() {
        closePreparedExchange();
        if (runningStreams.remove(this) && responseStarted) {
            LOGGER.info(
                    "stream ended id={} events={} firstEventMillis={} largestGapMillis={} continuations={}",
                    caller.requestId(),
                    forwardedEvents,
                    firstEventMillis,
                    largestGapMillis,
                    continuations);
        }
    }

    private void handleDisconnect() {
        if (currentAttempt != null && currentAttempt.endpointAttempt.isInProgress()) {
            attempts.recordPossibleExecution();
        }
        cancel();
        attempts.recordEnd();
    }

    private void cancel() {
        attempts.stopWaiting();
        StreamAttempt attempt = currentAttempt;
        if (attempt != null) {
            attempt.endpointAttempt.end(AttemptOutcome.WITHDRAWN);
        }
        if (caller.isEnded()) {
            end();
        }
    }

    private static String mediaType(HttpClientResponse response) {
        String contentType = response.getHeader("Content-Type");
        return contentType == null ? "" : contentType.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
    }

    private void recordEventTime() {
        long now = context.clock().millis();
        if (forwardedEvents == 0) {
            firstEventMillis = caller.elapsedMillis();
        } else {
            largestGapMillis = Math.max(largestGapMillis, now - lastEventMillis);
        }
        lastEventMillis = now;
    }

    /** One attempt at one endpoint. */
    private final class StreamAttempt {

        private final KnownEndpoint endpoint;
        private final @Nullable MemoryCopy copy;
        private final EndpointAttempt endpointAttempt;
        private final RunningRequest runningRequest;
        private final EventSplitter splitter = new EventSplitter();
        private @Nullable HttpClientResponse currentResponse;
        private long eventsOfAttempt;
        private long firstEventOfAttemptMillis;
        private long lastEventOfAttemptMillis;
        private StopState stopState = StopState.RUNNING;
        private boolean awaitsDrain;

        StreamAttempt(KnownEndpoint endpoint, @Nullable MemoryCopy copy) {
            this.endpoint = endpoint;
            this.copy = copy;
            this.runningRequest =
                    new RunningRequest(endpoint.entry().id(), query.promptTokens(), query.expectedOutputTokens());
            this.endpointAttempt =
                    new EndpointAttempt(context, caller, endpoint, exchangeWith(endpoint), runningRequest);
        }

        void start() {
            if (responseStarted) {
                LOGGER.info(
                        "stream continues id={} endpoint={} version={} events={} lastEventId={} memory={}",
                        caller.requestId(),
                        endpointAttempt.endpointId(),
                        endpointAttempt.version(),
                        forwardedEvents,
                        lastEventId,
                        copy != null);
            }
            endpointAttempt.recordStart();
            context.reportWork().run();
            endpointAttempt
                    .send(copy, lastEventId)
                    .onSuccess(this::handleResponse)
                    .onFailure(this::handleFailure);
        }

        private void handleResponse(HttpClientResponse response) {
            if (endpointAttempt.isEnded()) {
                return;
            }
            ResponseHead head = endpointAttempt.readResponseHead(response);
            IllegalStateException defect = endpointAttempt.findDefect(head);
            if (defect != null) {
                handleFailure(defect);
                return;
            }
            if (!head.isSuccess() && responseStarted) {
                handleRefusal(response, head, Buffer.buffer());
                return;
            }
            if (!head.isSuccess()) {
                endpointAttempt
                        .readBody(response)
                        .onSuccess(body -> handleRefusal(response, head, body))
                        .onFailure(this::handleFailure);
                return;
            }
            if (responseStarted && !mediaType(response).equals(startedMediaType)) {
                handleFailure(new IllegalStateException("the continuation has another media type"));
                return;
            }
            currentResponse = response;
            PacedRead pacing = new PacedRead(
                    context.vertx(), response, new PartAllowance(MAXIMUM_PARTS_AT_ONCE, MAXIMUM_PARTS_PER_MILLI));
            response.exceptionHandler(this::handleFailure);
            response.endHandler(ignored -> handleEnd());
            response.handler(bytes -> handleBytes(response, pacing, bytes));
        }

        private void handleBytes(HttpClientResponse response, PacedRead pacing, Buffer bytes) {
            if (endpointAttempt.isEnded()) {
                return;
            }
            int pendingBytes = splitter.pendingBytes();
            List<EventSplitter.Event> events = splitter.add(bytes);
            caller.recordHeldBytes(splitter.pendingBytes() - pendingBytes);
            if (endpointAttempt.isEnded()) {
                return;
            }
            if (!events.isEmpty() && isVersionUncertain()) {
                handleFailure(new IllegalStateException("the endpoint changed its version before its first event"));
                return;
            }
            boolean isWellFormed = forwardEvents(response, events);
            if (!isWellFormed) {
                handleFailure(new IllegalStateException("the stream has bytes that are no event"));
                return;
            }
            pacing.record(1 + events.size());
            if (splitter.isTooLarge()) {
                handleFailure(new IllegalStateException(
                        "an event is larger than " + ReceiveLimits.MAXIMUM_MESSAGE_BYTES + " bytes"));
                return;
            }
            if (caller.response().writeQueueFull() && !awaitsDrain) {
                awaitsDrain = true;
                pacing.hold();
                caller.response().drainHandler(ignored -> {
                    awaitsDrain = false;
                    pacing.release();
                });
            }
        }

        /**
         * Whether the first event of a stream that may continue elsewhere may be of another version than that of the entry to
         * which the request was sent, because the endpoint has started again.
         */
        private boolean isVersionUncertain() {
            return eventsOfAttempt == 0
                    && caller.route().mayRunAgain()
                    && context.state()
                            .endpoints()
                            .find(endpointAttempt.endpointId())
                            .filter(known -> !known.entry().version().equals(endpointAttempt.version()))
                            .isPresent();
        }

        /** Forwards the events up to the first one that is malformed; returns whether there is none. */
        private boolean forwardEvents(HttpClientResponse response, List<EventSplitter.Event> events) {
            Buffer forwarded = Buffer.buffer();
            boolean isWellFormed = true;
            for (EventSplitter.Event event : events) {
                isWellFormed = event.isWellFormed() || !responseStarted;
                if (!isWellFormed) {
                    break;
                }
                recordEvent(response, event);
                forwarded.appendBuffer(event.bytes());
            }
            if (forwarded.length() > 0) {
                caller.response().write(forwarded);
            }
            return isWellFormed;
        }

        private void recordEvent(HttpClientResponse response, EventSplitter.Event event) {
            if (!responseStarted) {
                responseStarted = true;
                startedMediaType = mediaType(response);
                caller.requireVersion(endpointAttempt.version());
                context.observers().notify(observer -> observer.handleFirstForwardedEvent(caller, endpoint));
                context.metrics().recordFirstEvent(caller.service(), caller.elapsedMillis());
                caller.response()
                        .setStatusCode(response.statusCode())
                        .setChunked(true)
                        .headers()
                        .addAll(context.protocol().callerHeaders(response));
            }
            recordEventTime();
            recordProgress();
            notifyOfEvent();
            forwardedEvents++;
            runningRequest.recordProducedTokens(forwardedEvents * TOKENS_PER_EVENT);
            if (event.id() != null) {
                lastEventId = event.id();
            }
        }

        private void notifyOfEvent() {
            long now = lastEventMillis;
            long previousMillis = lastEventOfAttemptMillis;
            lastEventOfAttemptMillis = now;
            if (eventsOfAttempt > 1) {
                context.observers()
                        .notify(observer -> observer.handleNextEvent(caller, endpoint, now - previousMillis));
                return;
            }
            long sinceStartMillis = now - endpointAttempt.startedAtMillis();
            context.observers().notify(observer -> observer.handleFirstEvent(caller, endpoint, sinceStartMillis));
        }

        private void recordProgress() {
            endpointAttempt.recordResponse();
            if (eventsOfAttempt == 0) {
                firstEventOfAttemptMillis = lastEventMillis;
            } else if (lastEventMillis - firstEventOfAttemptMillis >= ANSWER_BEGUN_MILLIS) {
                attempts.recordAnswer();
            }
            eventsOfAttempt++;
        }

        private void handleEnd() {
            if (endpointAttempt.isEnded()) {
                return;
            }
            boolean isCutOff = !isFramed() && (stopState.mayBeStopped() || eventsOfAttempt == 0);
            if (isCutOff || splitter.hasPartialEvent() || !responseStarted) {
                handleFailure(
                        isFramed()
                                ? new IllegalStateException("the stream ended before its last event")
                                : new HttpClosedException("the stream ended before its last event"));
                return;
            }
            if (splitter.trailingLines().length() > 0) {
                caller.response().write(splitter.trailingLines());
            }
            endpointAttempt.end(AttemptOutcome.SUCCEEDED);
            end();
            attempts.recordAnswer();
            endpoint.health().recordSuccess(context.clock().millis());
            caller.complete(endpoint.entry().id());
        }

        /** Whether the response marks the end of its body; the stream of a stopped run ends without such a mark. */
        private boolean isFramed() {
            HttpClientResponse response = currentResponse;
            return response != null && EndpointAttempt.isFramed(response);
        }

        private void handleRefusal(HttpClientResponse response, ResponseHead head, Buffer body) {
            if (endpointAttempt.isEnded()) {
                return;
            }
            boolean isNotRun = head.notRun() || head.status() == EndpointAttempt.MISDIRECTED_REQUEST;
            endpointAttempt.end(isNotRun ? AttemptOutcome.NOT_RUN : AttemptOutcome.FAILED);
            attempts.recordResponse();
            attempts.recordRefusal(endpoint);
            endpoint.health().recordFailure(context.clock().millis());
            LOGGER.info(
                    "endpoint refused id={} endpoint={} version={} status={} notRun={} memory={}",
                    caller.requestId(),
                    endpoint.entry().id(),
                    endpointAttempt.version(),
                    head.status(),
                    head.notRun(),
                    copy != null);
            if (copy != null) {
                // An engine without the copy answers 503 and does not run the request.
                if (isNotRun || head.status() == SERVICE_UNAVAILABLE) {
                    handleUnusedCopy(copy);
                    return;
                }
                abort("an engine failed the run that continued there");
                return;
            }
            if (isNotRun) {
                if (attempts.tryRetry(0)) {
                    startNextAttempt();
                    return;
                }
                refuseOrFail(RefusalCause.ENDPOINTS_FULL);
                return;
            }
            attempts.recordPossibleExecution();
            if (caller.route().mayRunAgain() && attempts.tryRetry(0)) {
                startNextAttempt();
                return;
            }
            if (responseStarted) {
                abort("an endpoint failed the continuation of the stream");
                return;
            }
            end();
            endpointAttempt.forward(response, body);
        }

        /** Handles a copy that was not used: the engine that stopped the run can still continue from its own memory. */
        private void handleUnusedCopy(MemoryCopy unused) {
            KnownEndpoint stoppedEngine = stoppedSource;
            if (stoppedEngine != null && stoppedEngine != endpoint) {
                continueAt(stoppedEngine, unused, null);
                return;
            }
            abort("no endpoint continues from the copy");
        }

        private void handleFailure(Throwable failure) {
            if (endpointAttempt.isEnded()) {
                return;
            }
            endpointAttempt.end(stopState.mayBeStopped() ? AttemptOutcome.WITHDRAWN : endpointAttempt.failureOutcome());
            if (!stopState.isRequestPending()) {
                handleBrokenStream(failure);
                return;
            }
            if (endpointAttempt.isSent()) {
                attempts.recordPossibleExecution();
            }
        }

        /** Continues the stream after an attempt that ended before the end of the stream, if possible. */
        private void handleBrokenStream(Throwable failure) {
            LOGGER.info(
                    "stream broken id={} endpoint={} version={} events={} lastEventId={} sent={} cause={}",
                    caller.requestId(),
                    endpointAttempt.endpointId(),
                    endpointAttempt.version(),
                    forwardedEvents,
                    lastEventId,
                    endpointAttempt.isSent(),
                    failure.toString());
            attempts.recordFailure(endpointAttempt, failure);
            if (!endpointAttempt.isSent() && copy != null) {
                handleUnusedCopy(copy);
                return;
            }
            if (!endpointAttempt.isSent() || (caller.route().mayRunAgain() && attempts.tryRetry(0))) {
                startNextAttempt();
                return;
            }
            if (responseStarted) {
                abort("the endpoint broke the stream off");
                return;
            }
            end();
            caller.fail("the endpoint failed: " + failure.getMessage(), false);
        }
    }
}
