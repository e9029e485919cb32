package org.redwinghook.runtime.admin;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.redwinghook.core.kernel.ServiceRegistry;
import org.redwinghook.core.receive.CallerProtection;
import org.redwinghook.runtime.http.GuardedConnections;
import org.redwinghook.runtime.process.DescriptorLimit;
import org.redwinghook.runtime.process.ListenErrors;
import org.redwinghook.runtime.settings.Address;

/**
 * HTTP server of the admin port. Serves /metrics, /health, /ready and /state. The state is a dump of all registered
 * services that implement {@link StateSource}, by service name.
 */
public final class AdminServer {

    private final Vertx vertx;
    private final Address address;
    private final ServiceRegistry services;
    private final PrometheusMeterRegistry metrics;
    private final BooleanSupplier isReady;
    private final ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private final Router routes;
    private final GuardedConnections connections;
    private volatile int port;

    /**
     * Creates the server.
     *
     * @param vertx Vert.x instance that runs the server
     * @param address address to listen on
     * @param services services whose state is dumped
     * @param metrics metrics to expose
     * @param isReady returns whether the process may receive work
     */
    public AdminServer(
            Vertx vertx,
            Address address,
            ServiceRegistry services,
            PrometheusMeterRegistry metrics,
            BooleanSupplier isReady) {
        this(
                vertx,
                address,
                services,
                metrics,
                isReady,
                CallerProtection.defaults(
                        DescriptorLimit.read(), Runtime.getRuntime().maxMemory()));
    }

    /**
     * Creates the server.
     *
     * @param vertx Vert.x instance that runs the server
     * @param address address to listen on
     * @param services services whose state is dumped
     * @param metrics metrics to expose
     * @param isReady returns whether the process may receive work
     * @param protection limits on the connections of the port
     */
    public AdminServer(
            Vertx vertx,
            Address address,
            ServiceRegistry services,
            PrometheusMeterRegistry metrics,
            BooleanSupplier isReady,
            CallerProtection protection) {
        this.vertx = vertx;
        this.address = address;
        this.services = services;
        this.metrics = metrics;
        this.isReady = isReady;
        this.routes = Router.router(vertx);
        this.connections = GuardedConnections.forOperators("admin", protection, refusal -> metrics.counter(
                        "redwinghook.connections.refused", "port", "admin", "cause", refusal.label())
                .increment());
    }

    /**
     * Starts listening.
     *
     * @return a future that completes when the port is open
     */
    public Future<Void> start() {
        routes.get("/metrics").handler(this::handleMetrics);
        routes.get("/health").handler(context -> context.response().end("alive\n"));
        routes.get("/ready").handler(this::handleReady);
        routes.get("/state").handler(this::handleState);
        connections.start(vertx);
        // With HTTP/2 enabled, the server would not report a connection before its first request.
        HttpServer server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
                .connectionHandler(connections::add)
                .requestHandler(routes);
        return ListenErrors.withAddress(address, server.listen(address.port(), address.host()))
                .map(HttpServer::actualPort)
                .onSuccess(actual -> port = actual)
                .mapEmpty();
    }

    /**
     * Returns the HTTP routes of the port, for services that handle operators' requests.
     *
     * @return the routes
     */
    public Router routes() {
        return routes;
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the port, 0 before the start
     */
    public int port() {
        return port;
    }

    private void handleMetrics(RoutingContext context) {
        context.response()
                .putHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
                .end(metrics.scrape());
    }

    private void handleReady(RoutingContext context) {
        boolean ready = isReady.getAsBoolean();
        context.response().setStatusCode(ready ? 200 : 503).end(ready ? "ready\n" : "not ready\n");
    }

    private void handleState(RoutingContext context) {
        Map<String, Object> dump = new LinkedHashMap<>();
        for (String name : services.names()) {
            if (services.find(name, Object.class) instanceof StateSource source) {
                dump.put(name, source.state());
            }
        }
        try {
            context.response().putHeader("content-type", "application/json").end(mapper.writeValueAsString(dump));
        } catch (JsonProcessingException exception) {
            context.fail(exception);
        }
    }
}
