package org.redwinghook.systemtests.history;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * An observation by a caller, an endpoint, an operator or a process. All times are milliseconds of the same clock.
 */
public interface Event {

    /**
     * Time of the observation.
     *
     * @return milliseconds
     */
    long atMillis();

    /**
     * A caller sent a request.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     * @param key idempotency key, null if there is none
     * @param idempotent whether the request may run more than once
     */
    record RequestSent(
            long atMillis, String request, @Nullable String key, boolean idempotent) implements Event {}

    /**
     * A caller received a token.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     * @param generation identifier of the generation
     * @param sequence sequence number of the token, from 1
     * @param text generation and index that the stand-in engine wrote into the token, as "generation/index"
     */
    record TokenReceived(long atMillis, String request, String generation, long sequence, String text)
            implements Event {}

    /**
     * A caller received the end of a complete answer.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     * @param reportedTokens number of tokens that the answer reports in its usage
     */
    record AnswerCompleted(long atMillis, String request, long reportedTokens) implements Event {}

    /**
     * The answer to a caller ended before it was complete.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     */
    record AnswerInterrupted(long atMillis, String request) implements Event {}

    /**
     * A caller received the answer of a plain service.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     * @param echoedRequest name of the request that the service answered
     */
    record CallAnswered(long atMillis, String request, String echoedRequest) implements Event {}

    /**
     * A request was refused with the outcome "not-run".
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     */
    record RequestRefused(long atMillis, String request) implements Event {}

    /**
     * A caller received the outcome "unknown": the request may have run.
     *
     * @param atMillis time of the observation in milliseconds
     * @param request name of the request
     */
    record OutcomeUnknown(long atMillis, String request) implements Event {}

    /**
     * An endpoint started to run a request.
     *
     * @param atMillis time of the observation in milliseconds
     * @param endpoint name of the endpoint
     * @param dataCentre data centre of the endpoint
     * @param request name of the request
     */
    record WorkStarted(long atMillis, String endpoint, String dataCentre, String request) implements Event {}

    /**
     * An endpoint applied the side effect of a request.
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
     * An endpoint reported its load and its capacity at that time.
     *
     * @param atMillis time of the observation in milliseconds
     * @param endpoint name of the endpoint
     * @param runningRequests number of requests that run
     * @param capacity number of requests that the endpoint can run at that time
     */
    record LoadObserved(long atMillis, String endpoint, int runningRequests, int capacity) implements Event {}

    /**
     * A data centre or endpoint was withdrawn or its VM marked as leaving; it must receive no new work.
     *
     * @param atMillis time of the observation in milliseconds
     * @param target name of the data centre or endpoint
     */
    record Withdrawn(long atMillis, String target) implements Event {}

    /**
     * A data centre or endpoint was reinstated after a withdrawal.
     *
     * @param atMillis time of the observation in milliseconds
     * @param target name of the data centre or endpoint
     */
    record Reinstated(long atMillis, String target) implements Event {}

    /**
     * A planned stop of a process started.
     *
     * @param atMillis time of the observation in milliseconds
     * @param process name of the process
     * @param runningRequests requests that were running at that time; the stop must interrupt none of them
     */
    record PlannedStopStarted(long atMillis, String process, List<String> runningRequests) implements Event {}

    /**
     * A change of a configuration section was accepted.
     *
     * @param atMillis time of the observation in milliseconds
     * @param section name of the section
     * @param version version of the section
     */
    record ChangeAccepted(long atMillis, String section, long version) implements Event {}

    /**
     * A version of a section came into force in a process.
     *
     * @param atMillis time of the observation in milliseconds
     * @param process name of the process
     * @param incarnation number that identifies this start of the process
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
     * @param incarnation number that identifies this start of the process
     */
    record ProcessStarted(long atMillis, String process, long incarnation) implements Event {}

    /**
     * A process was killed or ended by a planned stop.
     *
     * @param atMillis time of the observation in milliseconds
     * @param process name of the process
     * @param incarnation number that identifies this start of the process
     */
    record ProcessEnded(long atMillis, String process, long incarnation) implements Event {}
}
