package org.redwinghook.router.caller;

import java.util.List;
import java.util.Locale;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.RefusalReason;

/** Writes JSON responses to callers; all errors have the same format. */
public final class CallerErrors {

    private static final int HTTP_BAD_REQUEST = 400;
    private static final long MILLIS_PER_SECOND = 1_000;

    private CallerErrors() {}

    /**
     * Creates the body of an error response.
     *
     * @param type error type
     * @param message description of the error
     * @return the body
     */
    public static JsonObject body(String type, String message) {
        return new JsonObject().put("error", new JsonObject().put("type", type).put("message", message));
    }

    /**
     * Writes the refusal of a request that was not run.
     *
     * @param response the response
     * @param reason reason for the refusal
     * @param detail description of the refusal
     * @param retryAfterMillis time after which a retry may succeed, 0 if unknown
     */
    public static void refuse(CallerResponse response, RefusalReason reason, String detail, long retryAfterMillis) {
        if (retryAfterMillis > 0) {
            long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            response.http().putHeader("Retry-After", Long.toString(seconds));
        }
        String type = reason.name().toLowerCase(Locale.ROOT);
        respond(response, reason.status(), Outcome.NOT_RUN, body(type, detail));
    }

    /**
     * Rejects an invalid request.
     *
     * @param response the response
     * @param status HTTP status
     * @param type error type
     * @param message description of the error
     */
    public static void reject(CallerResponse response, int status, String type, String message) {
        respond(response, status, Outcome.NOT_RUN, body(type, message));
    }

    /**
     * Rejects a request with an invalid body and lists all findings.
     *
     * @param response the response
     * @param findings descriptions of all errors in the request, at least one
     */
    public static void rejectBody(CallerResponse response, List<String> findings) {
        JsonObject error = body("invalid_request", String.join("; ", findings));
        error.getJsonObject("error").put("findings", new JsonArray(findings));
        respond(response, HTTP_BAD_REQUEST, Outcome.NOT_RUN, error);
    }

    /**
     * Ends a response with a status, an outcome header and a JSON body, unless the response has started or its
     * connection has closed.
     *
     * @param response the response
     * @param status HTTP status
     * @param outcome outcome of the request
     * @param body the body
     */
    public static void respond(CallerResponse response, int status, Outcome outcome, JsonObject body) {
        HttpServerResponse http = response.http();
        if (http.ended() || http.closed() || http.headWritten()) {
            return;
        }
        http.setStatusCode(status)
                .putHeader(Outcome.HEADER, outcome.headerValue())
                .putHeader("content-type", "application/json");
        response.end(body.toBuffer());
    }
}
