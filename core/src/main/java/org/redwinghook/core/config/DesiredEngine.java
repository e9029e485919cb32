package org.redwinghook.core.config;

import java.util.List;

/**
 * Desired state of a service's engines. An empty text or list leaves the property unspecified.
 *
 * @param model name of the model to load
 * @param version version of the model to load
 * @param adapters adapters to load; other loaded adapters are kept
 * @param role role of the engine
 * @param drainBeforeChange whether an engine with another model or version takes no new work and completes its running
 *     work before a load
 */
public record DesiredEngine(
        String model, String version, List<String> adapters, String role, boolean drainBeforeChange) {

    /** Leaves all properties unspecified. */
    public static final DesiredEngine UNSPECIFIED = new DesiredEngine("", "", List.of(), "", false);

    public DesiredEngine {
        adapters = List.copyOf(adapters);
    }
}
