package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Answer to an {@link OriginQuestion}.
 *
 * @param number number of the question
 * @param version version at which the stream began, null if the router does not know
 */
public record OriginAnswer(long number, @Nullable String version) implements Message {}
