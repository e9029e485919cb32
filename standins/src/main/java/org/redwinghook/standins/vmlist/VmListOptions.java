package org.redwinghook.standins.vmlist;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vertx.core.Vertx;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonArray;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.redwinghook.standins.KindOptions;
import org.redwinghook.standins.StandIn;

/** Options of the VM list stand-in. */
public final class VmListOptions extends KindOptions {

    @Option(name = "--file", metaVar = "FILE", usage = "JSON file with the list at the start; empty list without it")
    private @Nullable Path file;

    @Option(name = "--lag-millis", metaVar = "MILLIS", usage = "time after which a change becomes visible")
    private long lagMillis;

    @Override
    public StandIn create(Vertx vertx) {
        VmListStandIn list = new VmListStandIn(vertx, port(), file == null ? new JsonArray() : readFile(file));
        list.faults().update(faults -> faults.withLagMillis(lagMillis));
        return list;
    }

    private static JsonArray readFile(Path file) {
        try {
            return new JsonArray(Files.readString(file));
        } catch (IOException exception) {
            throw new IllegalArgumentException("cannot read " + exception.getMessage(), exception);
        } catch (DecodeException exception) {
            throw new IllegalArgumentException(file + " is not a JSON list", exception);
        }
    }
}
