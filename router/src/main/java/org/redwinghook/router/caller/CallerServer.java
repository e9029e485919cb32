package org.redwinghook.router.caller;

import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server that accepts callers' requests. */
public final class CallerServer {

    private static final Logger LOGGER = LoggerFactory.getLogger(CallerServer.class);
    private static final long MAXIMUM_BODY_BYTES = 2L * 1024 * 1024;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    /**
     * Time for which a caller may send the body of a request that has been answered, in milliseconds. A close before its
     * end resets the connection, and the caller may lose the answer.
     */
    private static final long BODY_LINGER_MILLIS = 5_000;

    /**
     * Time for which connections stay open after the last running request, in milliseconds. A caller that sends its next
     * request right after an answer then gets a refusal in place of a closed connection.
     */
    private static final long CONNECTION_LINGER_MILLIS = 1_000;

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
    private final Set<RoutingContext> runningRequests = new HashSet<>();
    private final Set<RoutingContext> arrivingRequests = new LinkedHashSet<>();
    private final Set<HttpConnection> closingConnections = new HashSet<>();
    private int openConnections;
    private boolean isLingering;
    private boolean hasLingered;
    private boolean isStopping;
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
        routes.route().handler(this::acceptReceivedRequest);
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
        return ListenErrors.withAddress(
                        address,
                        created.connectionHandler(this::trackConnection)
                                .requestHandler(routes)
                                .listen(address.port(), address.host()))
                .map(HttpServer::actualPort);
    }

    /**
     * Begins a stop: each connection closes after its next response, so that its caller opens the next one to another
     * router. All requests are still served.
     */
    public void closeConnectionsAfterNextResponse() {
        isStopping = true;
    }

    /**
     * Refuses all new requests and those that have not arrived whole, and waits for the running ones. A caller that
     * never ends its body would otherwise hold up the stop and get no answer.
     *
     * @return a future that completes when all running requests have ended and their callers' connections have closed,
     *     or have stayed open without a request for a moment
     */
    public Future<Void> drain() {
        isStopping = true;
        isDraining = true;
        LOGGER.info("drain begins running={} arriving={}", runningRequests.size(), arrivingRequests.size());
        List.copyOf(arrivingRequests).forEach(context -> {
            arrivingRequests.remove(context);
            refuse(context);
        });
        completeIfIdle();
        return idle.future();
    }

    /**
     * Returns the number of requests that have not ended.
     *
     * @return the number
     */
    public int runningRequests() {
        return runningRequests.size();
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
        if (closingConnections.contains(context.request().connection())) {
            // RFC 9112, section 9.6: what follows the last response must not be processed. Its caller sends it again.
            LOGGER.info(
                    "request on closing connection ignored path={}",
                    context.request().path());
            return;
        }
        runningRequests.add(context);
        context.addHeadersEndHandler(ignored -> announceClose(context));
        CallerResponse response = CallerResponse.of(context);
        HttpServerRequest request = context.request();
        Future<Void> received = request.isEnded() ? Future.succeededFuture() : request.end();
        context.addEndHandler(ignored -> response.written()
                .eventually(() -> received.timeout(BODY_LINGER_MILLIS, TimeUnit.MILLISECONDS))
                .onComplete(ended -> handleRequestEnd(context)));
        if (isDraining) {
            refuse(context);
            return;
        }
        arrivingRequests.add(context);
        context.next();
    }

    private void announceClose(RoutingContext context) {
        if (isStopping) {
            context.response().putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
            closingConnections.add(context.request().connection());
        }
    }

    /** Passes on a request whose body has been read, unless it was refused before. */
    private void acceptReceivedRequest(RoutingContext context) {
        if (arrivingRequests.remove(context)) {
            context.next();
        }
    }

    private void handleRequestEnd(RoutingContext context) {
        arrivingRequests.remove(context);
        runningRequests.remove(context);
        HttpConnection connection = context.request().connection();
        if (closingConnections.contains(connection)) {
            connection.close();
        }
        completeIfIdle();
    }

    private void completeIfIdle() {
        if (!isDraining || !runningRequests.isEmpty()) {
            return;
        }
        if (hasLingered || openConnections == 0) {
            idle.tryComplete();
            return;
        }
        if (!isLingering) {
            isLingering = true;
            LOGGER.info("drain lingers connections={} lingerMillis={}", openConnections, CONNECTION_LINGER_MILLIS);
            vertx.setTimer(CONNECTION_LINGER_MILLIS, ignored -> {
                hasLingered = true;
                completeIfIdle();
            });
        }
    }

    private void trackConnection(HttpConnection connection) {
        openConnections++;
        connection.closeHandler(ignored -> {
            openConnections--;
            closingConnections.remove(connection);
            completeIfIdle();
        });
    }

    private static void refuse(RoutingContext context) {
        CallerErrors.refuse(
                CallerResponse.of(context), RefusalReason.LEAVING, "the router is leaving", RETRY_AFTER_MILLIS);
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
