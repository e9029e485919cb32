package org.redwinghook.sidecar.generation;

import java.util.function.LongSupplier;

/**
 * Limits of the retained generations.
 *
 * @param windowMillis time for which a generation is retained after its end was delivered or its subscriber left
 * @param maximumCharacters number of characters of all retained tokens above which engine streams with a backlog are
 *     paused
 */
public record Retention(LongSupplier windowMillis, long maximumCharacters) {}
