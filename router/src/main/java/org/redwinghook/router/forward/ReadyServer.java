package org.redwinghook.router.forward;

import java.util.function.BooleanSupplier;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import org.redwinghook.runtime.process.Listening;
import org.redwinghook.runtime.settings.Address;

/** Answers the balancer's question whether the router takes new connections. */
final class ReadyServer {

    private static final int READY = 200;
    private static final int NOT_READY = 503;
    private static final int NOT_FOUND = 404;

    private final Vertx vertx;
    private final Address address;
    private final String path;
    private final BooleanSupplier ready;

    ReadyServer(Vertx vertx, Address address, String path, BooleanSupplier ready) {
        this.vertx = vertx;
        this.address = address;
        this.path = path;
        this.ready = ready;
    }

    Future<Integer> start() {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {
            int answer = ready.getAsBoolean() ? READY : NOT_READY;
            request.response()
                    .setStatusCode(path.equals(request.path()) ? answer : NOT_FOUND)
                    .end();
        });
        return Listening.on(address, server.listen(address.port(), address.host()))
                .map(HttpServer::actualPort);
    }
}
