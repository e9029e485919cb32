package org.redwinghook.router.caller;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import org.jspecify.annotations.Nullable;
import org.redwinghook.runtime.settings.Address;

/** The callers' HTTP port. */
public final class CallerServer {

    private static final long LARGEST_BODY_BYTES = 2L * 1024 * 1024;

    private final Vertx vertx;
    private final Address address;
    private final CompletionHandler completions;
    private final ServiceCallHandler calls;
    private @Nullable HttpServer server;

    /**
     * Creates the server.
     *
     * @param vertx runs it
     * @param address where to listen
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
     * Starts to listen.
     *
     * @return the port
     */
    public Future<Integer> start() {
        Router routes = Router.router(vertx);
        routes.route().handler(BodyHandler.create(false).setBodyLimit(LARGEST_BODY_BYTES));
        routes.post("/v1/completions").handler(completions::handle);
        routes.route("/services/*").handler(calls::handle);
        HttpServer created = vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true));
        server = created;
        return created.requestHandler(routes)
                .listen(address.port(), address.host())
                .map(HttpServer::actualPort);
    }

    /**
     * Stops to listen, after running requests have ended.
     *
     * @return completes when the port is closed
     */
    public Future<Void> stop() {
        return server == null ? Future.succeededFuture() : server.close();
    }
}
