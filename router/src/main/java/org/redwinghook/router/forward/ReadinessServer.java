package org.redwinghook.router.forward;

import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import org.redwinghook.runtime.http.GuardedConnections;
import org.redwinghook.runtime.process.ListenErrors;
import org.redwinghook.runtime.settings.Address;

/** Answers the load balancer's checks whether the router accepts new connections. */
final class ReadinessServer {

    private static final int OK = 200;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final Address address;
    private final String path;
    private final BooleanSupplier isReady;
    private final GuardedConnections connections;

    ReadinessServer(
            Vertx vertx, Address address, String path, BooleanSupplier isReady, GuardedConnections connections) {
        this.vertx = vertx;
        this.address = address;
        this.path = path;
        this.isReady = isReady;
        this.connections = connections;
    }

    Future<Integer> start() {
        connections.start(vertx);
        // With HTTP/2 enabled, the server would not report a connection before its first request.
        HttpServer server = vertx.createHttpServer(new HttpServerOptions().setHttp2ClearTextEnabled(false))
                .connectionHandler(connections::add)
                .requestHandler(request -> {
                    int status = isReady.getAsBoolean() ? OK : SERVICE_UNAVAILABLE;
                    request.response()
                            .setStatusCode(path.equals(request.path()) ? status : NOT_FOUND)
                            .end();
                });
        return ListenErrors.withAddress(address, server.listen(address.port(), address.host()))
                .map(HttpServer::actualPort);
    }
}
