package org.redwinghook.standins.log;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.redwinghook.standins.KindOptions;
import org.redwinghook.standins.StandIn;

/** Options of the log stand-in. */
public final class LogOptions extends KindOptions {

    @Option(name = "--appends-per-second", metaVar = "N", usage = "maximum appends per second")
    private int appendsPerSecond = LogSettings.DEFAULT.appendsPerSecond();

    @Option(name = "--kept-records", metaVar = "N", usage = "maximum records in each stream")
    private int keptRecords = LogSettings.DEFAULT.keptRecords();

    @Option(name = "--kept-millis", metaVar = "MILLIS", usage = "time for which records are kept")
    private long keptMillis = LogSettings.DEFAULT.keptMillis();

    @Override
    public StandIn create(Vertx vertx) {
        return new LogStandIn(vertx, port(), new LogSettings(appendsPerSecond, keptRecords, keptMillis));
    }
}
