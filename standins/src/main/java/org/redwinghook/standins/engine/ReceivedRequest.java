package org.redwinghook.standins.engine;

/**
 * A request that the engine received.
 *
 * @param receivedAtMillis time of receipt in milliseconds since 1970
 * @param generationId identifier of the generation
 * @param prompt the prompt
 * @param isCold whether the engine was cold
 * @param concurrentRequests number of requests at the engine, running and waiting, including this one
 * @param isAccepted whether the engine accepted the request
 */
public record ReceivedRequest(
        long receivedAtMillis,
        String generationId,
        String prompt,
        boolean isCold,
        int concurrentRequests,
        boolean isAccepted) {}
