package org.redwinghook.sidecar.generation;

import java.util.function.LongSupplier;

/**
 * How long and how much of the generations is kept.
 *
 * @param windowMillis time for which a generation is kept after its end was delivered or its follower left
 * @param maximumCharacters characters of all kept tokens beyond which streams with a backlog are not read
 */
public record Retention(LongSupplier windowMillis, long maximumCharacters) {}
