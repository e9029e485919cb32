package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Answer to a {@link KeyQuestion}.
 *
 * @param exchange exchange of the question
 * @param stage stage of the attempt
 * @param status HTTP status of the service's answer, 0 if there is none
 * @param contentType media type of the body
 * @param body body of the service's answer, absent if there is none or it is only on the log
 */
public record KeyAnswer(
        long exchange, KeyStage stage, int status, @Nullable String contentType, byte @Nullable [] body)
        implements Message {}
