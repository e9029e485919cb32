package org.redwinghook.experiments.capacity;

import java.io.IOException;
import java.nio.file.Files;
import java.util.Map;

import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.runtime.process.ExitCode;

/** Entry point of the command redwinghook-capacity, which measures the capacity of routers and sidecars. */
public final class CapacityMain {

    private static final String PROGRAM_NAME = "redwinghook-capacity";

    private CapacityMain() {}

    /**
     * Runs a part of the measurement and rewrites its tables in the page.
     *
     * @param arguments the command line
     * @throws IOException if a process cannot be started or the page cannot be written
     * @throws InterruptedException if this thread is interrupted
     */
    public static void main(String[] arguments) throws IOException, InterruptedException {
        CapacityOptions options = new CapacityOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            System.err.println(PROGRAM_NAME + ": " + exception.getMessage());
            parser.printUsage(System.err);
            System.exit(ExitCode.USAGE.number());
        }
        if (options.isHelpRequested()) {
            System.out.println("usage: " + PROGRAM_NAME + " [OPTION...]");
            parser.printUsage(System.out);
            return;
        }
        run(options);
    }

    private static void run(CapacityOptions options) throws IOException, InterruptedException {
        Files.createDirectories(options.directory());
        Map<String, String> tables = options.part().tables(options.directory());
        String page = Files.readString(options.page());
        for (Map.Entry<String, String> table : tables.entrySet()) {
            page = MarkedTables.replace(page, table.getKey(), table.getValue());
        }
        Files.writeString(options.page(), page);
    }
}
