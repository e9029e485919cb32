package org.redwinghook.standins.engine;

/**
 * Behaviour of an engine after its start.
 *
 * @param steps decoding steps until the engine is warm; 0 for an engine that starts warm
 * @param slowdown factor by which each step takes longer while the engine is cold
 * @param coldCapacity number of requests, running and waiting, that a cold engine can handle
 * @param overload behaviour when there are more requests
 */
public record ColdStart(int steps, int slowdown, int coldCapacity, ColdOverload overload) {

    /** No cold start: the engine starts warm, although a fault can still turn it cold. */
    public static final ColdStart NONE = new ColdStart(0, 4, 4, ColdOverload.SLOW);
}
