package org.redwinghook.standins;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.standins.engine.EngineStandIn;
import org.redwinghook.standins.log.LogStandIn;
import org.redwinghook.standins.plain.PlainServiceStandIn;
import org.redwinghook.standins.vmlist.VmListStandIn;

/** Entry point of the binary redwinghook-stand-in. */
public final class StandInMain {

    private static final int USAGE = 2;

    private StandInMain() {}

    /**
     * Runs a stand-in until the process is ended.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        StandInOptions options = new StandInOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            System.err.println("redwinghook-stand-in: " + exception.getMessage());
            parser.printUsage(System.err);
            System.exit(USAGE);
        }
        if (options.help()) {
            parser.printUsage(System.out);
            return;
        }
        make(Vertx.vertx(), options).start().await();
    }

    private static StandIn make(Vertx vertx, StandInOptions options) {
        return switch (options.kind()) {
            case "log" -> new LogStandIn(vertx, options.port());
            case "vm-list" -> new VmListStandIn(vertx, options.port(), vms(options.file()));
            case "engine" -> new EngineStandIn(vertx, options.port(), options.tokenMillis());
            case "plain" -> new PlainServiceStandIn(vertx, options.port());
            default -> throw new IllegalArgumentException("unknown kind '" + options.kind() + "'");
        };
    }

    private static JsonArray vms(String file) {
        try {
            return new JsonArray(Files.readString(Path.of(file)));
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
    }
}
