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

/** Measures all series at the same time, one process for each point, against fakes in this JVM. */
public final class ControlCosts {

    private static final Logger LOGGER = LoggerFactory.getLogger(ControlCosts.class);

    /** Time for class loading, compilation and reading the configuration, none of which repeats. */
    private static final long WARM_UP_MILLIS = 35_000;

    private static final long MEASURE_MILLIS = 60_000;

    /** Processes that start at once; more would wait for each other's class loading. */
    private static final int STARTS_AT_ONCE = 8;

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final Vertx platforms = Vertx.vertx();
    private final FakePeers peers = new FakePeers(vertx);
    private final Path directory;
    private final List<Point> points = new ArrayList<>();

    /**
     * Creates a measurement.
     *
     * @param directory receives settings and output of the processes
     */
    public ControlCosts(Path directory) {
        this.directory = directory;
    }

    /**
     * Runs the measurement.
     *
     * @return growth over an idle process
     * @throws IOException if a process cannot be started or read
     * @throws InterruptedException if this thread is interrupted
     */
    public Result run() throws IOException, InterruptedException {
        List<Integer> ports = peers.start().await();
        int enginePort =
                new EngineStandIn(platforms, 0, EngineSettings.DEFAULT).start().await();
        addPoints();
        try {
            startAll(ports, enginePort);
            Thread.sleep(WARM_UP_MILLIS);
            measureAll();
        } finally {
            for (Point point : points) {
                point.stop();
            }
            vertx.close();
            platforms.close();
        }
        return result();
    }

    private void addPoints() {
        for (ProcessRole role : ProcessRole.values()) {
            points.add(new Point(role, null, 0));
        }
        for (Series series : Series.values()) {
            series.sizes().forEach(size -> points.add(new Point(series.role(), series, size)));
        }
    }

    private void startAll(List<Integer> ports, int enginePort) throws IOException, InterruptedException {
        for (int from = 0; from < points.size(); from += STARTS_AT_ONCE) {
            List<Point> batch = points.subList(from, Math.min(points.size(), from + STARTS_AT_ONCE));
            for (Point point : batch) {
                point.start(ports, enginePort);
            }
            for (Point point : batch) {
                point.connect();
            }
        }
    }

    private void measureAll() throws InterruptedException {
        points.forEach(Point::begin);
        Thread.sleep(MEASURE_MILLIS);
        points.forEach(Point::end);
    }

    private Result result() {
        Map<ProcessRole, Cost> bases = new EnumMap<>(ProcessRole.class);
        Map<Series, SortedMap<Integer, Cost>> growth = new EnumMap<>(Series.class);
        for (Point point : points) {
            Cost cost = point.cost;
            if (cost == null) {
                continue;
            }
            if (point.series == null) {
                bases.put(point.role, cost);
                continue;
            }
            Cost base = bases.get(point.role);
            if (base != null) {
                growth.computeIfAbsent(point.series, ignored -> new TreeMap<>()).put(point.size, cost.minus(base));
            }
        }
        return new Result(bases, growth);
    }

    /**
     * Measured costs.
     *
     * @param bases cost of an idle process of each role
     * @param growth growth over the idle process by series and size; points that failed are absent
     */
    public record Result(Map<ProcessRole, Cost> bases, Map<Series, SortedMap<Integer, Cost>> growth) {}

    private final class Point {

        private final ProcessRole role;
        private final @Nullable Series series;
        private final int size;
        private final ProcessLoad load;
        private @Nullable FakePlatform platform;
        private @Nullable MeasuredProcess process;
        private MeasuredProcess.@Nullable Counters before;
        private @Nullable Cost cost;

        Point(ProcessRole role, @Nullable Series series, int size) {
            this.role = role;
            this.series = series;
            this.size = size;
            this.load = series == null ? ProcessLoad.IDLE : series.load(size);
        }

        void start(List<Integer> ports, int enginePort) throws IOException {
            JsonArray vms = new JsonArray();
            if (role == ProcessRole.ROUTER) {
                add(vms, "sidecar", load.endpoints(), ports.get(0));
                add(vms, "router", load.routers(), ports.get(1));
            }
            FakePlatform made = new FakePlatform(platforms, vms);
            platform = made;
            made.start().await();
            made.configure(load.customers(), load.changesPerMinute()).await();
            process = MeasuredProcess.start(role, made, enginePort, directory, name());
        }

        void connect() throws IOException, InterruptedException {
            MeasuredProcess started = process;
            FakePlatform source = platform;
            if (started == null || source == null) {
                return;
            }
            started.awaitStart();
            if (series == Series.SIDECAR_CHANGES) {
                // A sidecar with a router does not poll the log, so the changes must come from that router.
                peers.relay(started.peerPort(), source).await();
                return;
            }
            // As many routers connect to a router as it connects to; a sidecar is connected to all of them.
            int incoming = role == ProcessRole.SIDECAR ? load.routers() : bits(load.routers());
            peers.connect(started.peerPort(), incoming, load.quotaRequestsPerSecond())
                    .await();
        }

        void begin() {
            MeasuredProcess running = process;
            if (running == null) {
                return;
            }
            try {
                if (load.customers() > 0 && !running.isReady()) {
                    LOGGER.warn("{} has no configuration after the warm-up", name());
                }
                before = running.before();
            } catch (IOException | InterruptedException exception) {
                LOGGER.warn("{} cannot be measured: {}", name(), exception.toString());
            }
        }

        void end() {
            MeasuredProcess running = process;
            MeasuredProcess.Counters start = before;
            if (running == null || start == null) {
                return;
            }
            try {
                cost = running.cost(start);
                LOGGER.info("{}: {}", name(), cost);
            } catch (IOException | InterruptedException exception) {
                LOGGER.warn("{} cannot be measured: {}", name(), exception.toString());
            }
        }

        void stop() throws InterruptedException {
            MeasuredProcess running = process;
            if (running != null) {
                running.stop();
            }
        }

        private String name() {
            return (series == null ? role + "_IDLE" : series + "-" + size).toLowerCase(java.util.Locale.ROOT);
        }

        private static void add(JsonArray vms, String role, int count, int port) {
            for (int index = 0; index < count; index++) {
                JsonObject entry = new JsonObject()
                        .put("vm", "%s-%04d".formatted(role, index))
                        .put("dataCentre", FakePeers.DATA_CENTRE)
                        .put("role", role)
                        .put("host", "127.0.0.1")
                        .put("peerPort", port)
                        .put("adminPort", port);
                vms.add("sidecar".equals(role) ? entry.put("service", service(index)) : entry);
            }
        }

        /** As many endpoints for each service as a subset has, so that the router connects to all of them. */
        private static String service(int index) {
            return "model-" + index / EndpointSubset.SIZE;
        }

        private static int bits(int routers) {
            return Integer.SIZE - Integer.numberOfLeadingZeros(routers);
        }
    }
}
