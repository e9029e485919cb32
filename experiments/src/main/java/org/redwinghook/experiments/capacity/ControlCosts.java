package org.redwinghook.experiments.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.routing.EndpointSubset;
import org.redwinghook.standins.engine.EngineSettings;
import org.redwinghook.standins.engine.EngineStandIn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures the control costs of routers and sidecars, which arise without callers' requests. All series run at the same
 * time, with one process for each point; its peers and the platform are simulated in this JVM.
 */
public final class ControlCosts {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlCosts.class);

    /** Time for the one-off work after a start: class loading, compilation and reading the configuration. */
    private static final long WARM_UP_MILLIS = 35_000;

    private static final long MEASUREMENT_MILLIS = 60_000;

    /** Maximum number of processes that start together; more would slow down each other's class loading. */
    private static final int MAXIMUM_CONCURRENT_STARTS = 8;

    private final Vertx peerVertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Vertx platformVertx = Vertx.vertx();
    private final FakePeers peers = new FakePeers(peerVertx);
    private final Path directory;
    private final List<MeasurementPoint> points = new ArrayList<>();

    /**
     * Creates a measurement.
     *
     * @param directory directory for the settings and output files of the processes
     */
    public ControlCosts(Path directory) {
        this.directory = directory;
    }

    /**
     * Runs the measurement.
     *
     * @return costs of idle processes, and growth of the costs over them
     * @throws IOException if a process cannot be started or read
     * @throws InterruptedException if this thread is interrupted
     */
    public Result run() throws IOException, InterruptedException {
        List<Integer> peerPorts = peers.start().await();
        int enginePort = new EngineStandIn(platformVertx, 0, EngineSettings.DEFAULT)
                .start()
                .await();
        addPoints();
        try {
            startAll(peerPorts, enginePort);
            Thread.sleep(WARM_UP_MILLIS);
            measureAll();
        } finally {
            for (MeasurementPoint point : points) {
                point.stop();
            }
            peerVertx.close();
            platformVertx.close();
        }
        return createResult();
    }

    private void addPoints() {
        for (ProcessRole role : ProcessRole.values()) {
            points.add(new MeasurementPoint(role, null, 0));
        }
        for (Series series : Series.values()) {
            series.sizes().forEach(size -> points.add(new MeasurementPoint(series.role(), series, size)));
        }
    }

    private void startAll(List<Integer> peerPorts, int enginePort) throws IOException, InterruptedException {
        for (int firstPoint = 0; firstPoint < points.size(); firstPoint += MAXIMUM_CONCURRENT_STARTS) {
            List<MeasurementPoint> batch =
                    points.subList(firstPoint, Math.min(points.size(), firstPoint + MAXIMUM_CONCURRENT_STARTS));
            for (MeasurementPoint point : batch) {
                point.start(peerPorts, enginePort);
            }
            for (MeasurementPoint point : batch) {
                point.connect();
            }
        }
    }

    private void measureAll() throws InterruptedException {
        points.forEach(MeasurementPoint::beginMeasurement);
        Thread.sleep(MEASUREMENT_MILLIS);
        points.forEach(MeasurementPoint::endMeasurement);
    }

    private Result createResult() {
        Map<ProcessRole, Cost> idleCosts = new EnumMap<>(ProcessRole.class);
        Map<Series, SortedMap<Integer, Cost>> growth = new EnumMap<>(Series.class);
        for (MeasurementPoint point : points) {
            Cost cost = point.cost;
            if (cost == null) {
                continue;
            }
            if (point.series == null) {
                idleCosts.put(point.role, cost);
                continue;
            }
            Cost idleCost = idleCosts.get(point.role);
            if (idleCost != null) {
                growth.computeIfAbsent(point.series, ignored -> new TreeMap<>()).put(point.size, cost.minus(idleCost));
            }
        }
        return new Result(idleCosts, growth);
    }

    /**
     * Measured costs.
     *
     * @param idleCosts cost of an idle process of each role
     * @param growth growth over the idle process by series and size, without points that failed
     */
    public record Result(Map<ProcessRole, Cost> idleCosts, Map<Series, SortedMap<Integer, Cost>> growth) {}

    private final class MeasurementPoint {

        private final ProcessRole role;
        private final @Nullable Series series;
        private final int size;
        private final ProcessLoad load;
        private @Nullable FakePlatform platform;
        private @Nullable MeasuredProcess process;
        private MeasuredProcess.@Nullable Counters startCounters;
        private @Nullable Cost cost;

        MeasurementPoint(ProcessRole role, @Nullable Series series, int size) {
            this.role = role;
            this.series = series;
            this.size = size;
            this.load = series == null ? ProcessLoad.IDLE : series.createLoad(size);
        }

        void start(List<Integer> peerPorts, int enginePort) throws IOException {
            JsonArray vms = new JsonArray();
            if (role == ProcessRole.ROUTER) {
                addVms(vms, "sidecar", load.endpoints(), peerPorts.get(0));
                addVms(vms, "router", load.routers(), peerPorts.get(1));
            }
            FakePlatform newPlatform = new FakePlatform(platformVertx, vms);
            platform = newPlatform;
            newPlatform.start().await();
            newPlatform
                    .publishConfiguration(load.customers(), load.changesPerMinute())
                    .await();
            process = MeasuredProcess.start(role, newPlatform, enginePort, directory, processName());
        }

        void connect() throws IOException, InterruptedException {
            MeasuredProcess measuredProcess = process;
            FakePlatform logPlatform = platform;
            if (measuredProcess == null || logPlatform == null) {
                return;
            }
            measuredProcess.awaitStart();
            if (series == Series.SIDECAR_CHANGES) {
                // A sidecar that is connected to a router does not poll the log, so this router relays the changes.
                peers.connectRelay(measuredProcess.peerPort(), logPlatform).await();
                return;
            }
            // As many routers connect to a router as it connects to, but all routers connect to a sidecar.
            int incoming = role == ProcessRole.SIDECAR ? load.routers() : connectionsPerRouter(load.routers());
            peers.connectRouters(measuredProcess.peerPort(), incoming, load.quotaRequestsPerSecond())
                    .await();
        }

        void beginMeasurement() {
            MeasuredProcess measuredProcess = process;
            if (measuredProcess == null) {
                return;
            }
            try {
                if (load.customers() > 0 && !measuredProcess.isReady()) {
                    LOGGER.warn("configuration missing after warm-up process={}", processName());
                }
                startCounters = measuredProcess.readStartCounters();
            } catch (IOException | InterruptedException exception) {
                LOGGER.warn("measurement failed process={} cause={}", processName(), exception.toString());
            }
        }

        void endMeasurement() {
            MeasuredProcess measuredProcess = process;
            MeasuredProcess.Counters measuredFrom = startCounters;
            if (measuredProcess == null || measuredFrom == null) {
                return;
            }
            try {
                cost = measuredProcess.costSince(measuredFrom);
                LOGGER.info("measured process={} cost={}", processName(), cost);
            } catch (IOException | InterruptedException exception) {
                LOGGER.warn("measurement failed process={} cause={}", processName(), exception.toString());
            }
        }

        void stop() throws InterruptedException {
            MeasuredProcess measuredProcess = process;
            if (measuredProcess != null) {
                measuredProcess.stop();
            }
        }

        private String processName() {
            return (series == null ? role + "_IDLE" : series + "-" + size).toLowerCase(java.util.Locale.ROOT);
        }

        private static void addVms(JsonArray vms, String role, int count, int port) {
            for (int index = 0; index < count; index++) {
                JsonObject vmEntry = new JsonObject()
                        .put("vm", "%s-%04d".formatted(role, index))
                        .put("dataCentre", FakePeers.DATA_CENTRE)
                        .put("role", role)
                        .put("host", "127.0.0.1")
                        .put("peerPort", port)
                        .put("adminPort", port);
                vms.add("sidecar".equals(role) ? vmEntry.put("service", serviceName(index)) : vmEntry);
            }
        }

        /** Gives each service as many endpoints as a router connects to, so that it connects to all of them. */
        private static String serviceName(int index) {
            return "model-" + index / EndpointSubset.SIZE;
        }

        /** Outgoing connections of a router to other routers, which grow with the logarithm of their number. */
        private static int connectionsPerRouter(int routers) {
            return Integer.SIZE - Integer.numberOfLeadingZeros(routers);
        }
    }
}
