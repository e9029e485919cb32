package org.redwinghook.standins.weights;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.redwinghook.standins.KindOptions;
import org.redwinghook.standins.StandIn;

/** Options of the weight store stand-in. */
public final class WeightStoreOptions extends KindOptions {

    @Option(name = "--weight-bytes", metaVar = "BYTES", usage = "size of each weight file")
    private long weightBytes = 10_000_000;

    @Option(name = "--bytes-per-second", metaVar = "BYTES", usage = "total transfer rate of all downloads")
    private long bytesPerSecond = 2_500_000;

    @Override
    public StandIn create(Vertx vertx) {
        return new WeightStoreStandIn(vertx, port(), weightBytes, bytesPerSecond);
    }
}
