package org.redwinghook.router.caller;

import java.util.List;
import java.util.Locale;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.RefusalReason;

/** Error answers to callers, all of the same shape. */
public final class CallerErrors {

    private static final int HTTP_BAD_REQUEST = 400;
    private static final long MILLIS_PER_SECOND = 1_000;

    private CallerErrors() {}

    /**
     * Body of an error.
     *
     * @param type short name of the error
     * @param message explanation
     * @return the body
     */
    public static JsonObject body(String type, String message) {
        return new JsonObject().put("error", new JsonObject().put("type", type).put("message", message));
    }

    /**
     * Refuses a request that was not run.
     *
     * @param response the response
     * @param reason why
     * @param detail explanation
     * @param retryAfterMillis time after which another try makes sense, 0 for none
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
     * Refuses a request that is wrong in itself.
     *
     * @param response the response
     * @param status HTTP status
     * @param type short name of the error
     * @param message explanation
     */
    public static void reject(CallerResponse response, int status, String type, String message) {
        respond(response, status, Outcome.NOT_RUN, body(type, message));
    }

    /**
     * Rejects a request for everything that is wrong with it.
     *
     * @param response the response
     * @param findings what is wrong, at least one
     */
    public static void rejectBody(CallerResponse response, List<String> findings) {
        JsonObject error = body("invalid_request", String.join("; ", findings));
        error.getJsonObject("error").put("findings", new JsonArray(findings));
        respond(response, HTTP_BAD_REQUEST, Outcome.NOT_RUN, error);
    }

    /**
     * Ends a response with an error.
     *
     * @param response the response
     * @param status HTTP status
     * @param outcome what is known about the request
     * @param body the error
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
