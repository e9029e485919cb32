package org.redwinghook.standins.engine;

/**
 * A request that reached the engine.
 *
 * @param receivedAtMillis time of arrival in milliseconds since 1970
 * @param generationId identifier of the generation
 * @param prompt the prompt
 * @param isCold whether the engine was cold
 * @param concurrentRequests requests at the engine, running and waiting, this one included
 * @param isAccepted whether the engine took the request
 */
public record ReceivedRequest(
        long receivedAtMillis,
        String generationId,
        String prompt,
        boolean isCold,
        int concurrentRequests,
        boolean isAccepted) {}
