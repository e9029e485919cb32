package org.redwinghook.core.config;

import java.util.List;

/**
 * What a service wants its engines to be. An empty text or list means no wish.
 *
 * @param model name of the model to load
 * @param version version of the model to load
 * @param adapters adapters to load; others that are loaded stay
 * @param role role of the engine
 * @param drainBeforeChange whether an engine with another model version takes no new work and finishes running work
 *     before a load
 */
public record DesiredEngine(
        String model, String version, List<String> adapters, String role, boolean drainBeforeChange) {

    /** No wish at all. */
    public static final DesiredEngine UNSPECIFIED = new DesiredEngine("", "", List.of(), "", false);

    public DesiredEngine {
        adapters = List.copyOf(adapters);
    }
}
