package org.redwinghook.standins.plain;

/**
 * A side effect of a call.
 *
 * @param number sequence number of the effect, from 1
 * @param method HTTP method of the call
 * @param path path of the call
 * @param key value of Idempotency-Key; empty if the call had none
 * @param request request identifier; empty if the call had none
 * @param atMillis time of the effect in milliseconds since 1970
 */
public record Effect(int number, String method, String path, String key, String request, long atMillis) {}
