package org.redwinghook.systemtests.history;

import java.util.List;

import org.jspecify.annotations.Nullable;

/** Something that a caller, a back end, an operator or a process observed. Times are milliseconds of one clock. */
public interface Event {

    /**
     * Time of the observation.
     *
     * @return milliseconds
     */
    long atMillis();

    /**
     * A caller sent a request; non-idempotent ones must not run twice.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     * @param key idempotency key, null if there is none
     * @param idempotent whether the request may run twice
     */
    record RequestSent(
            long atMillis, String request, @Nullable String key, boolean idempotent) implements Event {}

    /**
     * A caller received a token. The text is "generation/index" as the stand-in engine writes it.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     * @param generation identifier of the generation
     * @param sequence sequence number of the token, from 1
     * @param text text of the token
     */
    record TokenReceived(long atMillis, String request, String generation, long sequence, String text)
            implements Event {}

    /**
     * A caller was told that its answer is whole; tokens is the number that the answer claims.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     * @param reportedTokens number of tokens that the answer claims
     */
    record AnswerCompleted(long atMillis, String request, long reportedTokens) implements Event {}

    /**
     * A caller was told that its answer is cut.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     */
    record AnswerInterrupted(long atMillis, String request) implements Event {}

    /**
     * A caller received a plain service's answer; echo is the request that the service answered.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     * @param echoedRequest request that the service answered
     */
    record CallAnswered(long atMillis, String request, String echoedRequest) implements Event {}

    /**
     * A caller was told that its request was not run.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     */
    record RequestRefused(long atMillis, String request) implements Event {}

    /**
     * A caller was told that nobody knows whether its request ran.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     */
    record OutcomeUnknown(long atMillis, String request) implements Event {}

    /**
     * A back end began to run a request.
     *
     * @param atMillis time of the observation in milliseconds
     * @param endpoint name of the endpoint
     * @param dataCentre data centre of the endpoint
     * @param request name of the request
     */
    record WorkStarted(long atMillis, String endpoint, String dataCentre, String request) implements Event {}

    /**
     * A back end applied a side effect.
     *
     * @param atMillis time of the observation in milliseconds
     * @param endpoint name of the endpoint
     * @param request name of the request
     * @param key idempotency key, null if there is none
     */
    record EffectApplied(
            long atMillis,
            String endpoint,
            String request,
            @Nullable String key) implements Event {}

    /**
     * A back end observed how many requests it runs, and how many it could run at that moment.
     *
     * @param atMillis time of the observation in milliseconds
     * @param endpoint name of the endpoint
     * @param runningRequests requests that run
     * @param capacity requests that the endpoint can run
     */
    record LoadObserved(long atMillis, String endpoint, int runningRequests, int capacity) implements Event {}

    /**
     * An operator's withdrawal of a data centre or endpoint was accepted.
     *
     * @param atMillis time of the observation in milliseconds
     * @param target name of the data centre or endpoint
     */
    record Withdrawn(long atMillis, String target) implements Event {}

    /**
     * An operator's return of a data centre or endpoint was published.
     *
     * @param atMillis time of the observation in milliseconds
     * @param target name of the data centre or endpoint
     */
    record Reinstated(long atMillis, String target) implements Event {}

    /**
     * A planned stop of a process or endpoint began; requests lists what it was running.
     *
     * @param atMillis time of the observation in milliseconds
     * @param process name of the process
     * @param runningRequests requests that it was running
     */
    record PlannedStopStarted(long atMillis, String process, List<String> runningRequests) implements Event {}

    /**
     * A change of a section was reported as accepted.
     *
     * @param atMillis time of the observation in milliseconds
     * @param section name of the section
     * @param version version of the section
     */
    record ChangeAccepted(long atMillis, String section, long version) implements Event {}

    /**
     * A process put a version of a section in force; incarnation tells restarts apart.
     *
     * @param atMillis time of the observation in milliseconds
     * @param process name of the process
     * @param incarnation number of this start of the process
     * @param section name of the section
     * @param version version of the section
     */
    record VersionInForce(long atMillis, String process, long incarnation, String section, long version)
            implements Event {}

    /**
     * A process started.
     *
     * @param atMillis time of the observation in milliseconds
     * @param process name of the process
     * @param incarnation number of this start of the process
     */
    record ProcessStarted(long atMillis, String process, long incarnation) implements Event {}

    /**
     * A process ended, by a kill or by a planned stop.
     *
     * @param atMillis time of the observation in milliseconds
     * @param process name of the process
     * @param incarnation number of this start of the process
     */
    record ProcessEnded(long atMillis, String process, long incarnation) implements Event {}
}
