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
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.redwinghook.core.kernel.ServiceRegistry;
import org.redwinghook.runtime.process.ListenErrors;
import org.redwinghook.runtime.settings.Address;

/**
 * Serves /metrics, /health, /ready and /state. The state is the dump of every registered service that is a
 * {@link StateSource}, by name.
 */
public final class AdminServer {

    private final Vertx vertx;
    private final Address address;
    private final ServiceRegistry services;
    private final PrometheusMeterRegistry metrics;
    private final BooleanSupplier ready;
    private final ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
    private final Router routes;
    private volatile int port;

    /**
     * Creates the server.
     *
     * @param vertx runs it
     * @param address where to listen
     * @param services services whose state is dumped
     * @param metrics metrics to expose
     * @param ready whether the process may receive work
     */
    public AdminServer(
            Vertx vertx,
            Address address,
            ServiceRegistry services,
            PrometheusMeterRegistry metrics,
            BooleanSupplier ready) {
        this.vertx = vertx;
        this.address = address;
        this.services = services;
        this.metrics = metrics;
        this.ready = ready;
        this.routes = Router.router(vertx);
    }

    /**
     * Starts to listen.
     *
     * @return completes when the port is open
     */
    public Future<Void> start() {
        routes.get("/metrics").handler(this::metrics);
        routes.get("/health").handler(context -> context.response().end("alive\n"));
        routes.get("/ready").handler(this::ready);
        routes.get("/state").handler(this::state);
        return ListenErrors.withAddress(
                        address, vertx.createHttpServer().requestHandler(routes).listen(address.port(), address.host()))
                .map(HttpServer::actualPort)
                .onSuccess(actual -> port = actual)
                .mapEmpty();
    }

    /**
     * Routes of the port, for services that take operators' requests.
     *
     * @return the routes
     */
    public Router routes() {
        return routes;
    }

    /**
     * Port that the server listens on.
     *
     * @return the port, 0 before the start
     */
    public int port() {
        return port;
    }

    private void metrics(RoutingContext context) {
        context.response()
                .putHeader("content-type", "text/plain; version=0.0.4; charset=utf-8")
                .end(metrics.scrape());
    }

    private void ready(RoutingContext context) {
        boolean isReady = ready.getAsBoolean();
        context.response().setStatusCode(isReady ? 200 : 503).end(isReady ? "ready\n" : "not ready\n");
    }

    private void state(RoutingContext context) {
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
