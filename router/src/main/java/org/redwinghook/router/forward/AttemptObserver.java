package org.redwinghook.router.forward;

import org.redwinghook.core.forward.KnownEndpoint;

/** Observes attempts at endpoints, so that decisions can learn from them. All times are durations in milliseconds. */
interface AttemptObserver {

    /**
     * Handles the start of an attempt.
     *
     * @param caller the request
     * @param endpoint the endpoint
     */
    default void handleStart(CallerExchange caller, KnownEndpoint endpoint) {}

    /**
     * Handles the first event of an answer, before it is forwarded to the caller; once for each answer. The software version
     * of the endpoint is {@link CallerExchange#requiredVersion}.
     *
     * @param caller the request
     * @param endpoint the endpoint
     */
    default void handleFirstForwardedEvent(CallerExchange caller, KnownEndpoint endpoint) {}

    /**
     * Handles the first event of a generation.
     *
     * @param caller the request
     * @param endpoint the endpoint
     * @param sinceStartMillis time since the start of the attempt
     */
    default void handleFirstEvent(CallerExchange caller, KnownEndpoint endpoint, long sinceStartMillis) {}

    /**
     * Handles a further event of a generation.
     *
     * @param caller the request
     * @param endpoint the endpoint
     * @param gapMillis time since the previous event
     */
    default void handleNextEvent(CallerExchange caller, KnownEndpoint endpoint, long gapMillis) {}

    /**
     * Handles the head of a response.
     *
     * @param caller the request
     * @param endpoint the endpoint
     * @param head head of the response
     */
    default void handleResponseHead(CallerExchange caller, KnownEndpoint endpoint, ResponseHead head) {}

    /**
     * Handles the end of an attempt.
     *
     * @param caller the request
     * @param endpoint the endpoint
     * @param outcome how it ended
     * @param sinceStartMillis time since the start of the attempt
     */
    default void handleEnd(
            CallerExchange caller, KnownEndpoint endpoint, AttemptOutcome outcome, long sinceStartMillis) {}
}
