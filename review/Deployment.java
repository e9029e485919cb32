import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: a store, endpoints, and routers that are started with the command of the deploy file.
 * The routers run in the repository root; their settings come from the template that the deploy file names.
 */
final class Deployment implements AutoCloseable {

    private static final long READY_TIMEOUT_MILLIS = 20_000;
    private static final long HEARTBEAT_MILLIS = 1_200;
    private static final int GRACE_SECONDS = 8;

    final Journal journal;
    final StoreStandIn store;
    final List<Router> routers = new ArrayList<>();
    private final List<EndpointStandIn> endpoints = new CopyOnWriteArrayList<>();
    private final Path root;
    private final Path directory;
    private final String command;
    private final String template;

    /** One router process. */
    final class Router {
        final String name;
        final String ip;
        final int front;
        final int ready;
        final int peer;
        final int admin;
        final Path log;
        private final Path settings;
        private Process process;

        private Router(String name, String ip) throws IOException {
            this.name = name;
            this.ip = ip;
            this.front = freePort(ip);
            this.ready = freePort(ip);
            this.peer = freePort(ip);
            this.admin = freePort(ip);
            this.log = directory.resolve(name + ".log");
            this.settings = directory.resolve(name + ".yaml");
            String text = template.replace("{{node-name}}", name)
                    .replace("{{zone}}", "zone-a")
                    .replace("{{zones|json}}", "{\"zone-a\": \"region-a\"}")
                    .replace("{{listen.front}}", ip + ":" + front)
                    .replace("{{listen.ready}}", ip + ":" + ready)
                    .replace("{{ip}}:{{internal-ports.0}}", ip + ":" + peer)
                    .replace("{{ip}}:{{internal-ports.1}}", ip + ":" + admin)
                    .replace("{{platform.address}}", store.address())
                    .replace("{{bounds.grace-s}}", Integer.toString(GRACE_SECONDS))
                    .replace("{{bounds.retry-budget-ratio}}", "0.2")
                    .replace("{{bounds.retry-slack}}", "54")
                    .replace("{{bounds.retry-window-s}}", "10")
                    .replace("{{bounds.cold-overrun}}", "1.5")
                    .replace("{{bounds.cold-slack}}", "5");
            if (text.contains("{{")) {
                throw new IOException("the template has a placeholder that this script does not fill: " + text);
            }
            Files.writeString(settings, text);
        }

        void start() throws IOException {
            List<String> words = new ArrayList<>();
            for (String word : command.split(" ")) {
                words.add(word.equals("/etc/redwinghook/local.json") ? settings.toString() : word);
            }
            ProcessBuilder builder = new ProcessBuilder(words).directory(root.toFile()).redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            journal.add("router " + name + " started, process " + process.pid());
        }

        /** Waits until the readiness address answers 200, as the platform's balancer does. */
        void awaitReady() throws Exception {
            long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MILLIS);
            while (System.nanoTime() < end) {
                if (isReady()) {
                    journal.add("router " + name + " ready");
                    return;
                }
                Thread.sleep(50);
            }
            throw new IllegalStateException("router " + name + " does not become ready");
        }

        boolean isReady() {
            try (Client client = new Client(ip, ready, 1_000)) {
                return client.exchange("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]).status == 200;
            } catch (IOException exception) {
                return false;
            }
        }

        boolean isAlive() {
            return process.isAlive();
        }

        /** Identifiers of the servers that the router lists on its operators' port, for the record only. */
        List<String> listedServers() {
            List<String> ids = new ArrayList<>();
            try (Client client = new Client(ip, admin, 2_000)) {
                String state = client.exchange("GET /state HTTP/1.1\r\nHost: x\r\n\r\n", new byte[0]).text();
                Matcher matcher = Pattern.compile("\"id\" : \"([^\"]*)\"").matcher(state);
                while (matcher.find()) {
                    ids.add(matcher.group(1));
                }
            } catch (IOException exception) {
                ids.add("unknown: " + exception);
            }
            return ids;
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly().onExit().join();
            }
        }
    }

    Deployment(Journal journal) throws IOException {
        this.journal = journal;
        this.root = Path.of("").toAbsolutePath();
        String deployFile = Files.readString(root.resolve("deploy/system.toml"));
        this.command = value(deployFile, "run");
        this.template = Files.readString(root.resolve(value(deployFile, "template")));
        this.directory = Files.createTempDirectory("redwinghook-review");
        this.store = new StoreStandIn(journal);
        Thread heartbeats = new Thread(this::sendHeartbeats, "heartbeats");
        heartbeats.setDaemon(true);
        heartbeats.start();
    }

    Router addRouter(String name, String ip) throws IOException {
        Router router = new Router(name, ip);
        routers.add(router);
        router.start();
        return router;
    }

    /** Starts an endpoint and registers it in the store, as a server of the platform does. */
    EndpointStandIn addEndpoint(String id, String service, EndpointStandIn.Behaviour behaviour) throws IOException {
        EndpointStandIn endpoint = new EndpointStandIn(journal, id, service, behaviour);
        endpoints.add(endpoint);
        store.put(Wire.ENDPOINTS, id, endpoint.entry());
        return endpoint;
    }

    private void sendHeartbeats() {
        try {
            while (true) {
                Thread.sleep(HEARTBEAT_MILLIS);
                for (EndpointStandIn endpoint : endpoints) {
                    String entry = endpoint.entry();
                    if (!entry.isEmpty()) {
                        store.heartbeat(Wire.ENDPOINTS, endpoint.id, entry);
                    }
                }
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    /** Writes the log of a router below the journal, shortened to the lines that are no requests. */
    void copyLog(Router router, int maximumLines) throws IOException {
        List<String> lines = Files.readAllLines(router.log, StandardCharsets.ISO_8859_1);
        long rest = 0;
        int written = 0;
        for (String line : lines) {
            if (line.contains("request ended") || written >= maximumLines) {
                rest++;
                continue;
            }
            written++;
            journal.add("log of " + router.name + ": " + (line.length() > 300 ? line.substring(0, 300) : line));
        }
        journal.add("log of " + router.name + ": " + rest + " further lines");
    }

    void killRouters() {
        for (Router router : routers) {
            router.kill();
        }
    }

    /** Ends what is left if the case itself is ended by a signal. */
    void endAtExit() {
        try {
            close();
        } catch (IOException exception) {
            journal.add("temporary folder not removed: " + exception);
        }
    }

    @Override
    public synchronized void close() throws IOException {
        killRouters();
        endpoints.forEach(EndpointStandIn::close);
        store.close();
        if (!Files.exists(directory)) {
            return;
        }
        try (Stream<Path> files = Files.walk(directory)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    static int freePort(String ip) throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
            return socket.getLocalPort();
        }
    }

    private static String value(String toml, String key) throws IOException {
        Matcher matcher = Pattern.compile("(?m)^" + key + " = \"(.*)\"$").matcher(toml);
        if (!matcher.find()) {
            throw new IOException("the deploy file has no " + key);
        }
        return matcher.group(1);
    }
}
