package org.redwinghook.experiments.capacity;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.redwinghook.core.message.ProcessRole;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A router or sidecar in a separate JVM with a heap of 64 MB and the serial collector. */
public final class MeasuredProcess {

    private static final Logger LOGGER = LoggerFactory.getLogger(MeasuredProcess.class);

    /**
     * Next port to try. The range is below the ephemeral ports, so that no outgoing connection takes a port before the
     * process listens on it.
     */
    private static final AtomicInteger NEXT_PORT = new AtomicInteger(21_000);

    private static final String HEAP_OPTION = "-Xmx64m";
    private static final String ENGINE_HEAP_OPTION = "-Xmx1g";
    private static final Duration HTTP_TIMEOUT = Duration.ofSeconds(5);
    private static final long START_TIMEOUT_MILLIS = 60_000;
    private static final long START_CHECK_INTERVAL_MILLIS = 200;
    private static final long STOP_TIMEOUT_SECONDS = 10;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double KILOBYTES_PER_MEGABYTE = 1_000;
    private static final double KILOBYTES_PER_KIBIBYTE = 1.024;
    private static final Pattern HEAP_USED_PATTERN = Pattern.compile("generation.* used (\\d+)K");
    private static final Pattern RESIDENT_PATTERN = Pattern.compile("VmRSS:\\s+(\\d+) kB");
    private static final Pattern IO_BYTES_PATTERN = Pattern.compile("[rw]char: (\\d+)");
    private static final Pattern WIRE_BYTES_PATTERN = wireMetricPattern("bytes");
    private static final Pattern WIRE_MESSAGES_PATTERN = wireMetricPattern("messages");

    private final Process process;
    private final int peerPort;
    private final int adminPort;
    private final int callerPort;
    private final HttpClient http = HttpClient.newHttpClient();

    private MeasuredProcess(Process process, int peerPort, int adminPort, int callerPort) {
        this.process = process;
        this.peerPort = peerPort;
        this.adminPort = adminPort;
        this.callerPort = callerPort;
    }

    /**
     * Starts a process.
     *
     * @param role router or sidecar
     * @param platform log and VM list of the process
     * @param enginePort port of the engine behind a sidecar
     * @param directory directory for the settings and output files
     * @param name name of the process
     * @return the process, which may not listen yet
     * @throws IOException if it cannot be started
     */
    public static MeasuredProcess start(
            ProcessRole role, FakePlatform platform, int enginePort, Path directory, String name) throws IOException {
        int peerPort = nextFreePort();
        int adminPort = nextFreePort();
        int callerPort = nextFreePort();
        String settings = """
                process: %s
                dataCentre: %s
                peer: {port: %d}
                admin: {port: %d}
                platform:
                  log: {port: %d}
                  vmList: {port: %d}
                %s
                """.formatted(
                        name,
                        FakePeers.DATA_CENTRE,
                        peerPort,
                        adminPort,
                        platform.logPort(),
                        platform.vmListPort(),
                        role == ProcessRole.ROUTER
                                ? "caller: {port: " + callerPort + "}\nsettleMillis: 0"
                                : "service: " + FakePlatform.SERVICE
                                        + "\nkind: engine\nconcurrency: 2000\nendpoint: {port: " + enginePort + "}");
        Path file = directory.resolve(name + ".yaml");
        Files.writeString(file, settings);
        String binary = role == ProcessRole.ROUTER ? "bin/redwinghook-router" : "bin/redwinghook-sidecar";
        ProcessBuilder builder = new ProcessBuilder(binary, "--settings", file.toString());
        builder.environment().put("JAVA_OPTIONS", HEAP_OPTION);
        builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve(name + ".log").toFile());
        return new MeasuredProcess(builder.start(), peerPort, adminPort, callerPort);
    }

    /**
     * Starts an engine stand-in in a separate JVM, so that its processor time does not count as the client's.
     *
     * @param port port to listen on
     * @param options options of the engine stand-in
     * @param directory directory for the output file
     * @return the operating-system process
     * @throws IOException if it cannot be started
     */
    public static Process startEngine(int port, List<String> options, Path directory) throws IOException {
        List<String> command = new ArrayList<>(
                List.of("bin/redwinghook-stand-in", "--kind", "engine", "--port", Integer.toString(port)));
        command.addAll(options);
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("JAVA_OPTIONS", ENGINE_HEAP_OPTION);
        builder.redirectErrorStream(true)
                .redirectOutput(directory.resolve("engine.log").toFile());
        return builder.start();
    }

    /**
     * Waits until the process listens.
     *
     * @throws IOException if it does not listen within a minute
     * @throws InterruptedException if this thread is interrupted
     */
    public void awaitStart() throws IOException, InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(START_TIMEOUT_MILLIS);
        while (System.nanoTime() < deadlineNanos && process.isAlive()) {
            try {
                get("/health");
                return;
            } catch (IOException notYet) {
                Thread.sleep(START_CHECK_INTERVAL_MILLIS);
            }
        }
        throw new IOException("process " + process.pid() + " did not start");
    }

    /**
     * Port for connections from routers and sidecars.
     *
     * @return the port
     */
    public int peerPort() {
        return peerPort;
    }

    /**
     * Port for callers of a router.
     *
     * @return the port; a sidecar does not listen on it
     */
    public int callerPort() {
        return callerPort;
    }

    /**
     * Whether the configuration is in force in this process.
     *
     * @return whether {@code /ready} on the admin port reports ready
     * @throws IOException if the process does not answer
     * @throws InterruptedException if this thread is interrupted
     */
    public boolean isReady() throws IOException, InterruptedException {
        return get("/ready").startsWith("ready");
    }

    /**
     * Sends a GET request to the admin port.
     *
     * @param path path of the request
     * @return body of the response
     * @throws IOException if the process does not answer
     * @throws InterruptedException if this thread is interrupted
     */
    public String get(String path) throws IOException, InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + adminPort + path))
                .timeout(HTTP_TIMEOUT)
                .build();
        return http.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    /**
     * Reads counters at the start of a measurement.
     *
     * @return counters since the start of the process
     * @throws IOException if the process does not answer
     * @throws InterruptedException if this thread is interrupted
     */
    public Counters readStartCounters() throws IOException, InterruptedException {
        // Reading the metrics causes traffic itself, so they are read outside the counted time.
        String metrics = get("/metrics");
        return readCounters(metrics);
    }

    /**
     * Reads counters at the end of a measurement, then triggers a garbage collection and reads the memory usage.
     *
     * @param start counters at the start
     * @return cost between both readings
     * @throws IOException if the process does not answer
     * @throws InterruptedException if this thread is interrupted
     */
    public Cost costSince(Counters start) throws IOException, InterruptedException {
        Counters end = readCounters("");
        String metrics = get("/metrics");
        double seconds = (end.readAtNanos - start.readAtNanos) / NANOS_PER_SECOND;
        runDiagnosticCommand("GC.run");
        double heapMegabytes = sumMatches(HEAP_USED_PATTERN, runDiagnosticCommand("GC.heap_info"))
                * KILOBYTES_PER_KIBIBYTE
                / KILOBYTES_PER_MEGABYTE;
        double residentMegabytes =
                sumMatches(RESIDENT_PATTERN, readProcFile("status")) * KILOBYTES_PER_KIBIBYTE / KILOBYTES_PER_MEGABYTE;
        return new Cost(
                (end.processorNanos - start.processorNanos) / NANOS_PER_MILLI / seconds,
                heapMegabytes,
                residentMegabytes,
                (end.ioBytes - start.ioBytes) / seconds,
                (sumMatches(WIRE_BYTES_PATTERN, metrics) - start.wireBytes) / seconds,
                (sumMatches(WIRE_MESSAGES_PATTERN, metrics) - start.messages) / seconds);
    }

    /**
     * Stops the process, forcibly if it does not exit in time.
     *
     * @throws InterruptedException if this thread is interrupted
     */
    public void stop() throws InterruptedException {
        process.destroy();
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            process.destroyForcibly();
        }
    }

    /**
     * Finds a free port. Each call returns a different one.
     *
     * @return the port
     */
    public static int nextFreePort() {
        while (true) {
            int port = NEXT_PORT.getAndIncrement();
            try (ServerSocket socket = new ServerSocket(port)) {
                return socket.getLocalPort();
            } catch (IOException taken) {
                LOGGER.debug("port taken port={}", port);
            }
        }
    }

    private Counters readCounters(String metrics) throws IOException {
        long processorNanos =
                process.info().totalCpuDuration().map(Duration::toNanos).orElse(0L);
        return new Counters(
                System.nanoTime(),
                processorNanos,
                sumMatches(IO_BYTES_PATTERN, readProcFile("io")),
                sumMatches(WIRE_BYTES_PATTERN, metrics),
                sumMatches(WIRE_MESSAGES_PATTERN, metrics));
    }

    private String readProcFile(String file) throws IOException {
        return Files.readString(Path.of("/proc", Long.toString(process.pid()), file));
    }

    private String runDiagnosticCommand(String name) throws IOException, InterruptedException {
        Process diagnosticTool = new ProcessBuilder(List.of("jcmd", Long.toString(process.pid()), name)).start();
        String output = new String(diagnosticTool.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        diagnosticTool.waitFor();
        return output;
    }

    private static double sumMatches(Pattern pattern, String text) {
        double sum = 0;
        Matcher matcher = pattern.matcher(text);
        while (matcher.find()) {
            sum += Double.parseDouble(matcher.group(1));
        }
        return sum;
    }

    private static Pattern wireMetricPattern(String unit) {
        return Pattern.compile("(?m)^redwinghook_wire_(?:sent|received)_" + unit + "_total(?:\\{[^}]*\\})? (\\S+)");
    }

    /**
     * Counters since the start of a process.
     *
     * @param readAtNanos time of the reading, from {@link System#nanoTime}
     * @param processorNanos processor time in nanoseconds
     * @param ioBytes bytes read and written, of files and connections
     * @param wireBytes bytes of sent and received frames
     * @param messages sent and received frames
     */
    public record Counters(long readAtNanos, long processorNanos, double ioBytes, double wireBytes, double messages) {}
}
