package org.redwinghook.standins.engine;

/**
 * How an engine behaves after its start.
 *
 * @param steps decoding steps until the engine is warm; 0 for an engine that starts warm
 * @param slowdown factor on the time of each step while cold
 * @param coldCapacity requests, running and waiting, that a cold engine can take
 * @param overload what it does with more
 */
public record ColdStart(int steps, int slowdown, int coldCapacity, ColdOverload overload) {

    /** An engine that starts warm. A fault can still turn it cold. */
    public static final ColdStart NONE = new ColdStart(0, 4, 4, ColdOverload.SLOW);
}
