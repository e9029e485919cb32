package org.redwinghook.core.message;

/**
 * Question at which software version a stream began.
 *
 * @param number number of the question, which the answer repeats
 * @param service name of the stream's service
 * @param attempt identifier of the caller's attempt that began the stream
 */
public record OriginQuestion(long number, String service, String attempt) implements Message {}
