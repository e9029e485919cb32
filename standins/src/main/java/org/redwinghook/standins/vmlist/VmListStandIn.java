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
import org.redwinghook.standins.http.Lagged;
import org.redwinghook.standins.http.StandInServer;

/** Serves a list of VMs whose changes become visible after a lag. */
public final class VmListStandIn implements StandIn {

    private static final int HTTP_NO_CONTENT = 204;
    private static final int HTTP_NOT_MODIFIED = 304;
    private static final String NAME = "vm";

    private final StandInServer server;
    private final FaultSwitches<VmListFaults> faults = new FaultSwitches<>(VmListFaults.class, VmListFaults.NONE);
    private final Lagged<JsonArray> vms;

    /**
     * Creates a list.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     * @param vms entries at the start
     */
    public VmListStandIn(Vertx vertx, int port, JsonArray vms) {
        this.server = new StandInServer(vertx, port);
        this.vms = new Lagged<>(vms);
        faults.mount(server.routes());
        server.routes().get("/vms").handler(this::read);
        server.routes().put("/vms").handler(context -> {
            replace(context.body().asJsonArray());
            done(context);
        });
        server.routes().post("/vms").handler(context -> {
            add(context.body().asJsonObject());
            done(context);
        });
        server.routes().delete("/vms/:vm").handler(context -> {
            remove(context.pathParam(NAME));
            done(context);
        });
        server.routes().put("/vms/:vm/leaving").handler(context -> {
            setLeaving(context.pathParam(NAME), true);
            done(context);
        });
        server.routes().delete("/vms/:vm/leaving").handler(context -> {
            setLeaving(context.pathParam(NAME), false);
            done(context);
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
     * Faults of this list.
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
        change(old -> entries);
    }

    /**
     * Adds a VM, or replaces the entry of the same name.
     *
     * @param entry the new entry
     */
    public void add(JsonObject entry) {
        change(old -> without(old, entry.getString(NAME)).add(entry));
    }

    /**
     * Removes a VM.
     *
     * @param vm name of the VM
     */
    public void remove(String vm) {
        change(old -> without(old, vm));
    }

    /**
     * Marks a VM as leaving, or takes the mark away. Unknown VMs are ignored.
     *
     * @param vm name of the VM
     * @param leaving the mark
     */
    public void setLeaving(String vm, boolean leaving) {
        change(old -> {
            JsonArray changed = old.copy();
            changed.stream()
                    .map(JsonObject.class::cast)
                    .filter(entry -> vm.equals(entry.getString(NAME)))
                    .forEach(entry -> entry.put("leaving", leaving));
            return changed;
        });
    }

    private synchronized void change(UnaryOperator<JsonArray> operation) {
        vms.change(operation.apply(vms.newest()), System.currentTimeMillis());
    }

    private static JsonArray without(JsonArray entries, String vm) {
        JsonArray kept = new JsonArray();
        for (Object entry : entries) {
            if (entry instanceof JsonObject json && !vm.equals(json.getString(NAME))) {
                kept.add(json);
            }
        }
        return kept;
    }

    private void read(RoutingContext context) {
        VmListFaults current = faults.current();
        if (current.down()) {
            context.request().connection().close();
            return;
        }
        JsonArray visible = vms.visible(System.currentTimeMillis(), current.lagMillis());
        String body = visible.encode();
        String tag =
                '"' + Hashing.sha256().hashString(body, StandardCharsets.UTF_8).toString() + '"';
        context.response().putHeader(HttpHeaders.ETAG, tag);
        if (tag.equals(context.request().getHeader(HttpHeaders.IF_NONE_MATCH))) {
            context.response().setStatusCode(HTTP_NOT_MODIFIED).end();
            return;
        }
        context.response().putHeader("content-type", "application/json").end(body);
    }

    private static void done(RoutingContext context) {
        context.response().setStatusCode(HTTP_NO_CONTENT).end();
    }
}
