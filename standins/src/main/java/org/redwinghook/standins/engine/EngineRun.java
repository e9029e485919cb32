package org.redwinghook.standins.engine;

/**
 * A request that reached the engine.
 *
 * @param atMillis time of arrival in milliseconds since 1970
 * @param generation identifier of the generation
 * @param prompt the prompt
 * @param cold whether the engine was cold
 * @param requests requests at the engine, running and waiting, this one included
 * @param accepted whether the engine took the request
 */
public record EngineRun(
        long atMillis, String generation, String prompt, boolean cold, int requests, boolean accepted) {}
