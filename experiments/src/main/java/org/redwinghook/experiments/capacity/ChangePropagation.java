package org.redwinghook.experiments.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.standins.engine.EngineSettings;
import org.redwinghook.standins.engine.EngineStandIn;

/** Measures the time from the append of a configuration change until it is in force on real routers and sidecars. */
public final class ChangePropagation {

    /** Numbers of routers and sidecars of each measured deployment. */
    private static final List<List<Integer>> DEPLOYMENT_SIZES =
            List.of(List.of(4, 4), List.of(10, 10), List.of(18, 12));

    private static final int CUSTOMERS = 500;
    private static final int CHANGES = 8;
    private static final long SETTLE_MILLIS = 6_000;
    private static final long CHANGE_INTERVAL_MILLIS = 700;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final int MAXIMUM_CONCURRENT_STARTS = 10;

    private final Path directory;
    private final MarkdownTable table = new MarkdownTable(List.of(
            "routers", "sidecars", "changes", "time in force at a process, p50, ms", "p99, ms", "at the last one, ms"));

    /**
     * Creates a measurement.
     *
     * @param directory directory for the settings and output files of the processes
     */
    public ChangePropagation(Path directory) {
        this.directory = directory;
    }

    /**
     * Runs the measurement.
     *
     * @return a table with a row for each deployment
     * @throws IOException if a process cannot be started or read
     * @throws InterruptedException if this thread is interrupted
     */
    public String run() throws IOException, InterruptedException {
        for (List<Integer> size : DEPLOYMENT_SIZES) {
            Vertx vertx = Vertx.vertx();
            List<MeasuredProcess> processes = new ArrayList<>();
            try {
                measure(vertx, processes, size.get(0), size.get(1));
            } finally {
                for (MeasuredProcess process : processes) {
                    process.stop();
                }
                vertx.close().await();
            }
        }
        return table.toString();
    }

    private void measure(Vertx vertx, List<MeasuredProcess> processes, int routers, int sidecars)
            throws IOException, InterruptedException {
        FakePlatform platform = new FakePlatform(vertx, new JsonArray());
        platform.start().await();
        platform.publishConfiguration(CUSTOMERS, 0).await();
        int enginePort =
                new EngineStandIn(vertx, 0, EngineSettings.DEFAULT).start().await();
        startProcesses(processes, platform, enginePort, ProcessRole.ROUTER, routers);
        startProcesses(processes, platform, enginePort, ProcessRole.SIDECAR, sidecars);
        Thread.sleep(SETTLE_MILLIS);
        Histogram propagationTimes = new Histogram(2);
        for (int change = 0; change < CHANGES; change++) {
            recordPropagationTimes(
                    propagationTimes, processes, platform.changeCustomer().await());
            Thread.sleep(CHANGE_INTERVAL_MILLIS);
        }
        table.addRow(List.of(
                Integer.toString(routers),
                Integer.toString(sidecars),
                Integer.toString(CHANGES),
                Long.toString(propagationTimes.getValueAtPercentile(50)),
                Long.toString(propagationTimes.getValueAtPercentile(99)),
                Long.toString(propagationTimes.getMaxValue())));
    }

    private void startProcesses(
            List<MeasuredProcess> processes, FakePlatform platform, int enginePort, ProcessRole role, int count)
            throws IOException, InterruptedException {
        String roleName = role.name().toLowerCase(Locale.ROOT);
        for (int index = 0; index < count; index++) {
            String name = "spread-" + roleName + "-" + index;
            MeasuredProcess process = MeasuredProcess.start(role, platform, enginePort, directory, name);
            processes.add(process);
            JsonObject vmEntry = new JsonObject()
                    .put("vm", name)
                    .put("dataCentre", FakePeers.DATA_CENTRE)
                    .put("role", roleName)
                    .put("host", "127.0.0.1")
                    .put("peerPort", process.peerPort())
                    .put("adminPort", process.peerPort());
            platform.addVm(role == ProcessRole.SIDECAR ? vmEntry.put("service", FakePlatform.SERVICE) : vmEntry);
            if (index % MAXIMUM_CONCURRENT_STARTS == MAXIMUM_CONCURRENT_STARTS - 1) {
                process.awaitStart();
            }
        }
        for (MeasuredProcess process : processes) {
            process.awaitStart();
        }
    }

    private static void recordPropagationTimes(Histogram propagationTimes, List<MeasuredProcess> processes, long offset)
            throws IOException, InterruptedException {
        long startNanos = System.nanoTime();
        List<MeasuredProcess> pendingProcesses = new ArrayList<>(processes);
        while (!pendingProcesses.isEmpty()) {
            for (MeasuredProcess process : List.copyOf(pendingProcesses)) {
                if (new JsonObject(process.get("/configuration")).getLong("offset") >= offset) {
                    propagationTimes.recordValue(Math.round((System.nanoTime() - startNanos) / NANOS_PER_MILLI));
                    pendingProcesses.remove(process);
                }
            }
        }
    }
}
