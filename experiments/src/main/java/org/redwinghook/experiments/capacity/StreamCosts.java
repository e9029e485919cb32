package org.redwinghook.experiments.capacity;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.HdrHistogram.Histogram;
import org.redwinghook.core.message.ProcessRole;

/** Compares streams through one router and one sidecar with streams straight from the same engine. */
public final class StreamCosts {

    private static final List<Integer> STREAMS = List.of(1, 100, 1_000);
    private static final int TOKENS = 200;
    private static final int WARM_UP_STREAMS = 100;
    private static final int WARM_UP_ROUNDS = 3;
    private static final int WARM_UP_TOKENS = 50;
    private static final long RAMP_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 4_000;
    private static final long HALFWAY_MILLIS = 3_500;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The engine is not the limit: its step takes 40 ms whatever the batch is. */
    private static final List<String> ENGINE = List.of(
            "--token-millis",
            "40",
            "--sequence-micros",
            "0",
            "--prefill-micros",
            "0",
            "--maximum-batch",
            "2000",
            "--memory-tokens",
            "10000000",
            "--median-tokens",
            "100000");

    private final Path directory;
    private final Vertx platforms = Vertx.vertx();
    private final MarkdownTable table = new MarkdownTable(List.of(
            "streams",
            "first token direct, p50 / p99, ms",
            "through the system",
            "between tokens direct, p50 / p99, ms",
            "through the system",
            "tokens/s",
            "router CPU, ms/s",
            "sidecar CPU, ms/s",
            "tokens/s for each core of both",
            "heap for each stream, router / sidecar, KB",
            "failed"));

    /**
     * Creates a measurement.
     *
     * @param directory receives settings and output of the processes
     */
    public StreamCosts(Path directory) {
        this.directory = directory;
    }

    /**
     * Runs the measurement.
     *
     * @return a table with a row for each number of streams
     * @throws IOException if a process cannot be started or read
     * @throws InterruptedException if this thread is interrupted
     */
    public String run() throws IOException, InterruptedException {
        FakePlatform platform = new FakePlatform(platforms, new JsonArray());
        platform.start().await();
        platform.configure(1, 0).await();
        int enginePort = MeasuredProcess.freePort();
        Process engine = MeasuredProcess.engine(enginePort, ENGINE, directory);
        MeasuredProcess sidecar =
                MeasuredProcess.start(ProcessRole.SIDECAR, platform, enginePort, directory, "streams-sidecar");
        MeasuredProcess router =
                MeasuredProcess.start(ProcessRole.ROUTER, platform, enginePort, directory, "streams-router");
        try {
            sidecar.awaitStart();
            router.awaitStart();
            platform.add(new JsonObject()
                    .put("vm", "streams-sidecar")
                    .put("dataCentre", FakePeers.DATA_CENTRE)
                    .put("role", "sidecar")
                    .put("host", "127.0.0.1")
                    .put("peerPort", sidecar.peerPort())
                    .put("adminPort", sidecar.peerPort())
                    .put("service", FakePlatform.SERVICE));
            Thread.sleep(SETTLE_MILLIS);
            for (int round = 0; round < WARM_UP_ROUNDS; round++) {
                readAll(router.callerPort(), WARM_UP_STREAMS, WARM_UP_TOKENS);
                readAll(enginePort, WARM_UP_STREAMS, WARM_UP_TOKENS);
            }
            for (int streams : STREAMS) {
                measure(router, sidecar, enginePort, streams);
            }
        } finally {
            router.stop();
            sidecar.stop();
            engine.destroy();
            engine.waitFor(1, TimeUnit.SECONDS);
            platforms.close();
        }
        return table.toString();
    }

    private static StreamClient readAll(int port, int streams, int tokens) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        StreamClient client = new StreamClient(vertx, port);
        client.read(streams, RAMP_MILLIS, tokens).otherwiseEmpty().await();
        vertx.close().await();
        return client;
    }

    private void measure(MeasuredProcess router, MeasuredProcess sidecar, int enginePort, int streams)
            throws IOException, InterruptedException {
        StreamClient direct = readAll(enginePort, streams, TOKENS);
        double routerHeap = router.cost(router.before()).heapMegabytes();
        double sidecarHeap = sidecar.cost(sidecar.before()).heapMegabytes();
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        StreamClient system = new StreamClient(vertx, router.callerPort());
        Future<Void> reading = system.read(streams, RAMP_MILLIS, TOKENS);
        Thread.sleep(RAMP_MILLIS);
        MeasuredProcess.Counters routerBefore = router.before();
        MeasuredProcess.Counters sidecarBefore = sidecar.before();
        long tokensBefore = system.tokens();
        long start = System.nanoTime();
        Thread.sleep(HALFWAY_MILLIS);
        // Read before the collection that measures the heap, which would count as processor time.
        double seconds = (System.nanoTime() - start) / (MILLIS_PER_SECOND * MILLIS_PER_SECOND * MILLIS_PER_SECOND);
        double tokens = (system.tokens() - tokensBefore) / seconds;
        Cost routerCost = router.cost(routerBefore);
        Cost sidecarCost = sidecar.cost(sidecarBefore);
        reading.otherwiseEmpty().await();
        vertx.close().await();
        double cores = (routerCost.processorMillis() + sidecarCost.processorMillis()) / MILLIS_PER_SECOND;
        table.row(List.of(
                "%,d".formatted(streams),
                percentiles(direct.firstMicros()),
                percentiles(system.firstMicros()),
                percentiles(direct.gapMicros()),
                percentiles(system.gapMicros()),
                MarkdownTable.number(tokens),
                MarkdownTable.number(routerCost.processorMillis()),
                MarkdownTable.number(sidecarCost.processorMillis()),
                MarkdownTable.number(tokens / cores),
                MarkdownTable.number((routerCost.heapMegabytes() - routerHeap) * MILLIS_PER_SECOND / streams) + " / "
                        + MarkdownTable.number(
                                (sidecarCost.heapMegabytes() - sidecarHeap) * MILLIS_PER_SECOND / streams),
                direct.failures() + " / " + system.failures()));
    }

    private static String percentiles(Histogram micros) {
        return MarkdownTable.number(micros.getValueAtPercentile(50) / MICROS_PER_MILLI) + " / "
                + MarkdownTable.number(micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
