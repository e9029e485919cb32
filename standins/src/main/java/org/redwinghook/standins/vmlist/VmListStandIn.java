package org.redwinghook.standins.vmlist;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import org.redwinghook.standins.StandIn;

/** Serves a list of VMs and lets tests and operators replace it. */
public final class VmListStandIn implements StandIn {

    private final int port;
    private final HttpServer server;
    private JsonArray vms;

    /**
     * Creates a list.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     * @param vms entries at the start
     */
    public VmListStandIn(Vertx vertx, int port, JsonArray vms) {
        this.port = port;
        this.vms = vms;
        Router routes = Router.router(vertx);
        routes.route().handler(BodyHandler.create(false));
        routes.get("/vms").handler(context -> context.response()
                .putHeader("content-type", "application/json")
                .end(this.vms.encode()));
        routes.put("/vms").handler(context -> {
            this.vms = context.body().asJsonArray();
            context.response().end();
        });
        this.server = vertx.createHttpServer().requestHandler(routes);
    }

    @Override
    public Future<Integer> start() {
        return server.listen(port, "127.0.0.1").map(HttpServer::actualPort);
    }

    @Override
    public Future<Void> stop() {
        return server.close();
    }
}
