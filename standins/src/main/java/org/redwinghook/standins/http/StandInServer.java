package org.redwinghook.standins.http;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import org.jspecify.annotations.Nullable;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server of a stand-in. It can refuse connections temporarily, as if the process had crashed. */
public final class StandInServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(StandInServer.class);
    private static final String HOST = "127.0.0.1";
    private static final int HTTP_BAD_REQUEST = 400;
    private static final long MAXIMUM_BODY_BYTES = 8L * 1024 * 1024;

    private final Vertx vertx;
    private final Router routes;
    private int port;
    /** Counts the starts and stops, so that a scheduled restart is skipped if the server was started or stopped. */
    private int startStopCount;

    private @Nullable HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx the Vert.x instance that the server runs on
     * @param port port on 127.0.0.1, or 0 for any free port
     */
    public StandInServer(Vertx vertx, int port) {
        this.vertx = vertx;
        this.port = port;
        this.routes = Router.router(vertx);
        routes.route().failureHandler(StandInServer::handleFailure);
        routes.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES));
    }

    /**
     * Returns the routes of the server.
     *
     * @return the routes
     */
    public Router routes() {
        return routes;
    }

    /**
     * Starts listening.
     *
     * @return the port that the server listens on
     */
    public synchronized Future<Integer> start() {
        startStopCount++;
        HttpServer created = vertx.createHttpServer().requestHandler(routes);
        server = created;
        return created.listen(port, HOST).map(HttpServer::actualPort).onSuccess(this::setPort);
    }

    /**
     * Closes the port and all connections at once.
     *
     * @return a future that completes when the port is closed
     */
    public synchronized Future<Void> stop() {
        startStopCount++;
        HttpServer stopping = server;
        server = null;
        return stopping == null ? Future.succeededFuture() : stopping.close();
    }

    /**
     * Closes the port and all connections at once and opens the port again later, unless the server was started or
     * stopped in the meantime.
     *
     * @param millis time for which the port is closed, in milliseconds
     * @return a future that completes when connections are refused
     */
    public synchronized Future<Void> refuseConnections(long millis) {
        Future<Void> closeFuture = stop();
        int initialStartStopCount = startStopCount;
        return closeFuture.onSuccess(
                ignored -> vertx.setTimer(Math.max(1, millis), timer -> restartIfStillStopped(initialStartStopCount)));
    }

    /**
     * Responds with JSON unless the response has ended.
     *
     * @param context the request
     * @param status HTTP status
     * @param body the response body
     */
    public static void respond(RoutingContext context, int status, JsonObject body) {
        if (context.response().closed() || context.response().ended()) {
            return;
        }
        context.response()
                .setStatusCode(status)
                .putHeader("content-type", "application/json")
                .end(body.toBuffer());
    }

    /**
     * Responds with an error.
     *
     * @param context the request
     * @param status HTTP status
     * @param message error message
     */
    public static void respondWithError(RoutingContext context, int status, String message) {
        respond(context, status, new JsonObject().put("error", message));
    }

    /**
     * Parses an integer query parameter.
     *
     * @param context the request
     * @param name name of the parameter
     * @param defaultValue value if the parameter is absent
     * @return the number
     */
    public static long parseLongParameter(RoutingContext context, String name, long defaultValue) {
        String value = context.request().getParam(name);
        return value == null ? defaultValue : Long.parseLong(value);
    }

    private synchronized void setPort(int actualPort) {
        port = actualPort;
    }

    private synchronized void restartIfStillStopped(int initialStartStopCount) {
        if (startStopCount == initialStartStopCount) {
            start().onFailure(
                            failure -> LOGGER.error("port reopen failed port={} cause={}", port, failure.getMessage()));
        }
    }

    private static void handleFailure(RoutingContext context) {
        Throwable failure = context.failure();
        boolean isBadRequest = failure instanceof DecodeException
                || failure instanceof IllegalArgumentException
                || failure instanceof ClassCastException;
        if (!isBadRequest) {
            context.next();
            return;
        }
        respondWithError(context, HTTP_BAD_REQUEST, String.valueOf(failure.getMessage()));
    }
}
