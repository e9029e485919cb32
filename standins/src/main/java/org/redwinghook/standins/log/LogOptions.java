package org.redwinghook.standins.log;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.Option;
import org.redwinghook.standins.KindOptions;
import org.redwinghook.standins.StandIn;

/** Options of the log. */
public final class LogOptions extends KindOptions {

    @Option(name = "--appends-per-second", metaVar = "N", usage = "appends taken in a second")
    private int appendsPerSecond = LogSettings.DEFAULT.appendsPerSecond();

    @Option(name = "--kept-records", metaVar = "N", usage = "records kept in each stream")
    private int keptRecords = LogSettings.DEFAULT.keptRecords();

    @Option(name = "--kept-millis", metaVar = "MILLIS", usage = "time for which records are kept")
    private long keptMillis = LogSettings.DEFAULT.keptMillis();

    @Override
    public StandIn create(Vertx vertx) {
        return new LogStandIn(vertx, port(), new LogSettings(appendsPerSecond, keptRecords, keptMillis));
    }
}
