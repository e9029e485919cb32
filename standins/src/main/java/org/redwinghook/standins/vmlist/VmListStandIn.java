package org.redwinghook.standins.vmlist;

import java.nio.charset.StandardCharsets;
import java.util.function.UnaryOperator;

import com.google.common.hash.Hashing;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import org.redwinghook.standins.StandIn;
import org.redwinghook.standins.http.FaultSwitches;
import org.redwinghook.standins.http.LaggedValue;
import org.redwinghook.standins.http.StandInServer;

/** Serves a list of VMs whose changes become visible after a configurable lag. */
public final class VmListStandIn implements StandIn {

    private static final int HTTP_NO_CONTENT = 204;
    private static final int HTTP_NOT_MODIFIED = 304;
    private static final String VM_FIELD = "vm";

    private final StandInServer server;
    private final FaultSwitches<VmListFaults> faults = new FaultSwitches<>(VmListFaults.class, VmListFaults.NONE);
    private final LaggedValue<JsonArray> vms;

    /**
     * Creates a list.
     *
     * @param vertx the Vert.x instance that the stand-in runs on
     * @param port port on 127.0.0.1, or 0 for any free port
     * @param vms initial entries
     */
    public VmListStandIn(Vertx vertx, int port, JsonArray vms) {
        this.server = new StandInServer(vertx, port);
        this.vms = new LaggedValue<>(vms);
        faults.registerRoutes(server.routes());
        server.routes().get("/vms").handler(this::handleRead);
        server.routes().put("/vms").handler(context -> {
            replace(context.body().asJsonArray());
            respondNoContent(context);
        });
        server.routes().post("/vms").handler(context -> {
            add(context.body().asJsonObject());
            respondNoContent(context);
        });
        server.routes().delete("/vms/:vm").handler(context -> {
            remove(context.pathParam(VM_FIELD));
            respondNoContent(context);
        });
        server.routes().put("/vms/:vm/leaving").handler(context -> {
            setLeaving(context.pathParam(VM_FIELD), true);
            respondNoContent(context);
        });
        server.routes().delete("/vms/:vm/leaving").handler(context -> {
            setLeaving(context.pathParam(VM_FIELD), false);
            respondNoContent(context);
        });
    }

    @Override
    public Future<Integer> start() {
        return server.start();
    }

    @Override
    public Future<Void> stop() {
        return server.stop();
    }

    /**
     * Returns the fault switches of this list.
     *
     * @return the switches
     */
    public FaultSwitches<VmListFaults> faults() {
        return faults;
    }

    /**
     * Replaces all entries.
     *
     * @param entries the new entries
     */
    public void replace(JsonArray entries) {
        update(current -> entries);
    }

    /**
     * Adds a VM or replaces the entry with the same name.
     *
     * @param entry the new entry
     */
    public void add(JsonObject entry) {
        update(current -> entriesExcept(current, entry.getString(VM_FIELD)).add(entry));
    }

    /**
     * Removes a VM.
     *
     * @param vm name of the VM
     */
    public void remove(String vm) {
        update(current -> entriesExcept(current, vm));
    }

    /**
     * Sets or clears the leaving flag of a VM. Unknown VMs are ignored.
     *
     * @param vm name of the VM
     * @param leaving whether the VM is leaving
     */
    public void setLeaving(String vm, boolean leaving) {
        update(current -> {
            JsonArray changed = current.copy();
            changed.stream()
                    .map(JsonObject.class::cast)
                    .filter(entry -> vm.equals(entry.getString(VM_FIELD)))
                    .forEach(entry -> entry.put("leaving", leaving));
            return changed;
        });
    }

    private synchronized void update(UnaryOperator<JsonArray> operation) {
        vms.set(operation.apply(vms.latest()), System.currentTimeMillis());
    }

    private static JsonArray entriesExcept(JsonArray entries, String vm) {
        JsonArray remaining = new JsonArray();
        for (Object entry : entries) {
            if (entry instanceof JsonObject json && !vm.equals(json.getString(VM_FIELD))) {
                remaining.add(json);
            }
        }
        return remaining;
    }

    private void handleRead(RoutingContext context) {
        VmListFaults current = faults.current();
        if (current.down()) {
            context.request().connection().close();
            return;
        }
        JsonArray visible = vms.visible(System.currentTimeMillis(), current.lagMillis());
        String body = visible.encode();
        String entityTag =
                '"' + Hashing.sha256().hashString(body, StandardCharsets.UTF_8).toString() + '"';
        context.response().putHeader(HttpHeaders.ETAG, entityTag);
        if (entityTag.equals(context.request().getHeader(HttpHeaders.IF_NONE_MATCH))) {
            context.response().setStatusCode(HTTP_NOT_MODIFIED).end();
            return;
        }
        context.response().putHeader("content-type", "application/json").end(body);
    }

    private static void respondNoContent(RoutingContext context) {
        context.response().setStatusCode(HTTP_NO_CONTENT).end();
    }
}
