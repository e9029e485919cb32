package org.redwinghook.router.caller;

import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.runtime.process.ListenErrors;
import org.redwinghook.runtime.settings.Address;

/** HTTP server that accepts callers' requests. */
public final class CallerServer {

    private static final long MAXIMUM_BODY_BYTES = 2L * 1024 * 1024;
    private static final long RETRY_AFTER_MILLIS = 1_000;
    private static final int HTTP_INTERNAL_ERROR = 500;
    private static final Map<Integer, String> ERROR_TYPES = Map.of(
            400, "invalid_request",
            404, "unknown_path",
            405, "method_not_allowed",
            413, "body_too_large");

    private final Vertx vertx;
    private final Address address;
    private final CompletionHandler completions;
    private final ServiceCallHandler calls;
    private final Promise<Void> idle = Promise.promise();
    private @Nullable HttpServer server;
    private int runningRequests;
    private boolean isDraining;

    /**
     * Creates the server.
     *
     * @param vertx Vert.x instance of the process
     * @param address address to listen on
     * @param completions handles completions
     * @param calls handles calls to plain services
     */
    public CallerServer(Vertx vertx, Address address, CompletionHandler completions, ServiceCallHandler calls) {
        this.vertx = vertx;
        this.address = address;
        this.completions = completions;
        this.calls = calls;
    }

    /**
     * Starts the server.
     *
     * @return the port on which the server listens
     */
    public Future<Integer> start() {
        Router routes = Router.router(vertx);
        routes.route().handler(this::trackRequest);
        routes.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES));
        routes.post("/v1/completions").handler(context -> completions.handleCompletion(context, CompletionFormat.TEXT));
        routes.post("/v1/chat/completions")
                .handler(context -> completions.handleCompletion(context, CompletionFormat.CHAT));
        routes.get("/v1/generations/:generation/events").handler(completions::handleEvents);
        routes.route("/services/*").handler(calls::handle);
        routes.route().failureHandler(CallerServer::handleFailure);
        ERROR_TYPES.forEach((status, type) -> routes.errorHandler(status, CallerServer::handleFailure));
        routes.errorHandler(HTTP_INTERNAL_ERROR, CallerServer::handleFailure);
        HttpServer created = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        server = created;
        // Requests that are not valid HTTP never reach the routes.
        created.invalidRequestHandler(request -> {
            request.response().putHeader(Outcome.HEADER, Outcome.NOT_RUN.headerValue());
            HttpServerRequest.DEFAULT_INVALID_REQUEST_HANDLER.handle(request);
        });
        return ListenErrors.withAddress(address, created.requestHandler(routes).listen(address.port(), address.host()))
                .map(HttpServer::actualPort);
    }

    /**
     * Refuses all new requests and waits for the running ones.
     *
     * @return a future that completes when all running requests have ended
     */
    public Future<Void> drain() {
        isDraining = true;
        if (runningRequests == 0) {
            idle.tryComplete();
        }
        return idle.future();
    }

    /**
     * Returns the number of requests that have not ended.
     *
     * @return the number
     */
    public int runningRequests() {
        return runningRequests;
    }

    /**
     * Stops the server and closes all connections.
     *
     * @return a future that completes when the port is closed
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }

    private void trackRequest(RoutingContext context) {
        CallerResponse response = CallerResponse.of(context);
        if (isDraining) {
            response.http().putHeader("Connection", "close");
            CallerErrors.refuse(response, RefusalReason.LEAVING, "the router is leaving", RETRY_AFTER_MILLIS);
            return;
        }
        runningRequests++;
        context.addEndHandler(ignored -> response.written().onComplete(written -> handleRequestEnd()));
        context.next();
    }

    private void handleRequestEnd() {
        runningRequests--;
        if (isDraining && runningRequests == 0) {
            idle.tryComplete();
        }
    }

    private static void handleFailure(RoutingContext context) {
        int status = context.statusCode() < 0 ? HTTP_INTERNAL_ERROR : context.statusCode();
        String type = ERROR_TYPES.getOrDefault(status, "internal_error");
        // An internal error may occur after the request was forwarded; all other failures occur before.
        Outcome outcome = status == HTTP_INTERNAL_ERROR ? Outcome.UNKNOWN : Outcome.NOT_RUN;
        String message = context.request().method() + " " + context.request().path() + ": " + type.replace('_', ' ');
        CallerErrors.respond(CallerResponse.of(context), status, outcome, CallerErrors.body(type, message));
    }
}
