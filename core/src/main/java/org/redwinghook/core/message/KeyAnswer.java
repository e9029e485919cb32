package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * Answer to a key question.
 *
 * @param exchange exchange of the question
 * @param stage how far the attempt is
 * @param status HTTP status of the service's answer, 0 if there is none
 * @param contentType media type of the body
 * @param body body of the service's answer, absent if there is none or it is only on the log
 */
public record KeyAnswer(
        long exchange, KeyStage stage, int status, @Nullable String contentType, byte @Nullable [] body)
        implements Message {}
