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

/** HTTP port of a stand-in. It can refuse connections for a time, as a process does that has died. */
public final class StandInServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(StandInServer.class);
    private static final String HOST = "127.0.0.1";
    private static final int HTTP_BAD_REQUEST = 400;
    private static final long MAXIMUM_BODY_BYTES = 8L * 1024 * 1024;

    private final Vertx vertx;
    private final Router routes;
    private int port;
    private int startStopCount;
    private @Nullable HttpServer server;

    /**
     * Creates a server that does not listen yet.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     */
    public StandInServer(Vertx vertx, int port) {
        this.vertx = vertx;
        this.port = port;
        this.routes = Router.router(vertx);
        routes.route().failureHandler(StandInServer::handleFailure);
        routes.route().handler(BodyHandler.create(false).setBodyLimit(MAXIMUM_BODY_BYTES));
    }

    /**
     * Routes of the port.
     *
     * @return the routes
     */
    public Router routes() {
        return routes;
    }

    /**
     * Starts to listen.
     *
     * @return the port
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
     * @return completes when the port is closed
     */
    public synchronized Future<Void> stop() {
        startStopCount++;
        HttpServer stopping = server;
        server = null;
        return stopping == null ? Future.succeededFuture() : stopping.close();
    }

    /**
     * Closes the port and all connections at once and opens the port again later, unless the stand-in was started or
     * stopped in between.
     *
     * @param millis time without the port in milliseconds
     * @return completes when connections are refused
     */
    public synchronized Future<Void> refuseConnections(long millis) {
        Future<Void> closeFuture = stop();
        int initialStartStopCount = startStopCount;
        return closeFuture.onSuccess(
                ignored -> vertx.setTimer(Math.max(1, millis), timer -> restartIfStillStopped(initialStartStopCount)));
    }

    /**
     * Answers with JSON.
     *
     * @param context the request
     * @param status HTTP status
     * @param body the answer
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
     * Answers with an error.
     *
     * @param context the request
     * @param status HTTP status
     * @param message explanation
     */
    public static void respondWithError(RoutingContext context, int status, String message) {
        respond(context, status, new JsonObject().put("error", message));
    }

    /**
     * Reads a whole number from the query.
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
                            failure -> LOGGER.error("port {} cannot be opened again: {}", port, failure.getMessage()));
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
