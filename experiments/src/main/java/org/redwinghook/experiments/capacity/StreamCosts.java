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

/** Compares streams through one router and one sidecar with direct streams from the same engine. */
public final class StreamCosts {

    private static final List<Integer> STREAM_COUNTS = List.of(1, 100, 1_000);
    private static final int TOKENS_PER_STREAM = 200;
    private static final int WARM_UP_STREAMS = 100;
    private static final int WARM_UP_ROUNDS = 3;
    private static final int WARM_UP_TOKENS = 50;
    private static final long RAMP_MILLIS = 2_000;
    private static final long SETTLE_MILLIS = 4_000;
    private static final long MEASUREMENT_MILLIS = 3_500;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final double MILLIS_PER_SECOND = 1_000;

    /** The engine is not the bottleneck: a step takes 40 ms for any batch size. */
    private static final List<String> ENGINE_OPTIONS = List.of(
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
    private final Vertx platformVertx = Vertx.vertx();
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
     * @param directory directory for the settings and output files of the processes
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
        FakePlatform platform = new FakePlatform(platformVertx, new JsonArray());
        platform.start().await();
        platform.publishConfiguration(1, 0).await();
        int enginePort = MeasuredProcess.nextFreePort();
        Process engine = MeasuredProcess.startEngine(enginePort, ENGINE_OPTIONS, directory);
        MeasuredProcess sidecar =
                MeasuredProcess.start(ProcessRole.SIDECAR, platform, enginePort, directory, "streams-sidecar");
        MeasuredProcess router =
                MeasuredProcess.start(ProcessRole.ROUTER, platform, enginePort, directory, "streams-router");
        try {
            sidecar.awaitStart();
            router.awaitStart();
            platform.addVm(new JsonObject()
                    .put("vm", "streams-sidecar")
                    .put("dataCentre", FakePeers.DATA_CENTRE)
                    .put("role", "sidecar")
                    .put("host", "127.0.0.1")
                    .put("peerPort", sidecar.peerPort())
                    .put("adminPort", sidecar.peerPort())
                    .put("service", FakePlatform.SERVICE));
            Thread.sleep(SETTLE_MILLIS);
            for (int round = 0; round < WARM_UP_ROUNDS; round++) {
                readStreams(router.callerPort(), WARM_UP_STREAMS, WARM_UP_TOKENS);
                readStreams(enginePort, WARM_UP_STREAMS, WARM_UP_TOKENS);
            }
            for (int streams : STREAM_COUNTS) {
                measure(router, sidecar, enginePort, streams);
            }
        } finally {
            router.stop();
            sidecar.stop();
            engine.destroy();
            engine.waitFor(1, TimeUnit.SECONDS);
            platformVertx.close();
        }
        return table.toString();
    }

    private static StreamClient readStreams(int port, int streams, int tokens) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        StreamClient client = new StreamClient(vertx, port);
        client.readStreams(streams, RAMP_MILLIS, tokens).otherwiseEmpty().await();
        vertx.close().await();
        return client;
    }

    private void measure(MeasuredProcess router, MeasuredProcess sidecar, int enginePort, int streams)
            throws IOException, InterruptedException {
        StreamClient direct = readStreams(enginePort, streams, TOKENS_PER_STREAM);
        double routerHeap = router.costSince(router.readStartCounters()).heapMegabytes();
        double sidecarHeap = sidecar.costSince(sidecar.readStartCounters()).heapMegabytes();
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        StreamClient routed = new StreamClient(vertx, router.callerPort());
        Future<Void> reading = routed.readStreams(streams, RAMP_MILLIS, TOKENS_PER_STREAM);
        Thread.sleep(RAMP_MILLIS);
        MeasuredProcess.Counters routerBefore = router.readStartCounters();
        MeasuredProcess.Counters sidecarBefore = sidecar.readStartCounters();
        long tokensBefore = routed.tokens();
        long startNanos = System.nanoTime();
        Thread.sleep(MEASUREMENT_MILLIS);
        // Read before costSince, whose garbage collection would count as processor time.
        double seconds = (System.nanoTime() - startNanos) / (MILLIS_PER_SECOND * MILLIS_PER_SECOND * MILLIS_PER_SECOND);
        double tokens = (routed.tokens() - tokensBefore) / seconds;
        Cost routerCost = router.costSince(routerBefore);
        Cost sidecarCost = sidecar.costSince(sidecarBefore);
        reading.otherwiseEmpty().await();
        vertx.close().await();
        double cores = (routerCost.processorMillis() + sidecarCost.processorMillis()) / MILLIS_PER_SECOND;
        table.addRow(List.of(
                "%,d".formatted(streams),
                percentiles(direct.firstTokenMicros()),
                percentiles(routed.firstTokenMicros()),
                percentiles(direct.tokenGapMicros()),
                percentiles(routed.tokenGapMicros()),
                MarkdownTable.formatNumber(tokens),
                MarkdownTable.formatNumber(routerCost.processorMillis()),
                MarkdownTable.formatNumber(sidecarCost.processorMillis()),
                MarkdownTable.formatNumber(tokens / cores),
                MarkdownTable.formatNumber((routerCost.heapMegabytes() - routerHeap) * MILLIS_PER_SECOND / streams)
                        + " / "
                        + MarkdownTable.formatNumber(
                                (sidecarCost.heapMegabytes() - sidecarHeap) * MILLIS_PER_SECOND / streams),
                direct.failures() + " / " + routed.failures()));
    }

    private static String percentiles(Histogram micros) {
        return MarkdownTable.formatNumber(micros.getValueAtPercentile(50) / MICROS_PER_MILLI) + " / "
                + MarkdownTable.formatNumber(micros.getValueAtPercentile(99) / MICROS_PER_MILLI);
    }
}
