import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A small deployment on loopback: a store, servers, routers as processes, and a record of what was seen. */
final class Stage implements AutoCloseable {

    static final String HOST = "orders.example";
    static final String KEY = "key-1";
    static final String TENANT = "tenant-1";
    static final String ZONE = "zone-a";

    /** Memory of a router's machine in the smaller of the two sites, in kilobytes (280 MB). */
    static final long MACHINE_KILOBYTES = 280L * 1024;

    private static final long START_NANOS = System.nanoTime();

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    final Path directory;
    final Store store;
    private final PrintWriter record;
    private final List<AutoCloseable> parts = new CopyOnWriteArrayList<>();

    Stage(Path folder) throws IOException {
        record = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
        directory = Files.createTempDirectory("review");
        store = new Store();
        parts.add(store);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
        note("trouble=%s", trouble);
    }

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    synchronized void note(String format, Object... values) {
        String line = String.format(Locale.ROOT, "%7d ", millis()) + String.format(Locale.ROOT, format, values);
        record.println(line);
        System.out.println(line);
    }

    synchronized void write(String format, Object... values) {
        record.println(String.format(Locale.ROOT, "%7d ", millis()) + String.format(Locale.ROOT, format, values));
    }

    Router startRouter(String name) throws IOException, InterruptedException {
        return startRouter(name, "");
    }

    Router startRouter(String name, String moreSettings) throws IOException, InterruptedException {
        Router router = new Router(name, moreSettings);
        parts.add(router);
        router.start();
        return router;
    }

    Server startServer(String id, String service, Server.Handler handler) throws IOException {
        return startServer(id, service, 32, handler);
    }

    Server startServer(String id, String service, int slots, Server.Handler handler) throws IOException {
        Server server = new Server(id, service, slots, handler);
        parts.add(server);
        return server;
    }

    @Override
    public void close() {
        for (AutoCloseable part : parts) {
            try {
                part.close();
            } catch (Exception failure) {
                System.out.println("not closed: " + failure);
            }
        }
        parts.clear();
    }

    /** Ends the run: 0 if the rule held, 1 if it was broken. */
    void end(boolean broken, String verdict) {
        note("%s: %s", broken ? "BROKEN" : "HELD", verdict);
        close();
        Runtime.getRuntime().halt(broken ? 1 : 0);
    }

    void unable(String cause) {
        note("NOT RUN: %s", cause);
        close();
        Runtime.getRuntime().halt(2);
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    /** One HTTP message head. */
    static final class Head {
        String first = "";
        final Map<String, String> fields = new LinkedHashMap<>();

        String get(String name) {
            return fields.get(name.toLowerCase(Locale.ROOT));
        }

        /** Identifier of a client's attempt. */
        String id() {
            return get(Wire.text("request-id"));
        }

        int status() {
            String[] words = first.split(" ");
            return words.length > 1 ? Integer.parseInt(words[1]) : -1;
        }

        String path() {
            return first.split(" ")[1];
        }

        int length() {
            String text = get("content-length");
            return text == null ? -1 : Integer.parseInt(text.trim());
        }
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                throw new EOFException("ended within a line");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head, null if the channel ends before it. */
    static Head readHead(InputStream in) throws IOException {
        Head head = new Head();
        try {
            head.first = readLine(in);
        } catch (EOFException end) {
            return null;
        }
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            head.fields.merge(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim(),
                    (before, after) -> before + "," + after);
        }
        return head;
    }

    static byte[] readBody(InputStream in, Head head) throws IOException {
        String coding = head.get("transfer-encoding");
        if (coding != null && coding.contains("chunked")) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                int size = Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
                byte[] chunk = in.readNBytes(size);
                if (chunk.length < size) {
                    throw new EOFException("ended within a chunk");
                }
                body.writeBytes(chunk);
                if (size == 0) {
                    while (!readLine(in).isEmpty()) {}
                    return body.toByteArray();
                }
                readLine(in);
            }
        }
        int length = Math.max(0, head.length());
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("ended within a body");
        }
        return body;
    }

    /** The platform's store: keyed topics with one partition, waiting reads. */
    final class Store implements AutoCloseable {

        private final ServerSocket socket = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        private final Map<String, List<Entry>> topics = new LinkedHashMap<>();
        private final ExecutorService threads = Executors.newCachedThreadPool(Stage::daemon);

        private record Entry(String key, byte[] value) {}

        Store() throws IOException {
            threads.execute(this::accept);
        }

        int port() {
            return socket.getLocalPort();
        }

        synchronized void put(String topic, String key, String value) {
            write("store %s %s %s", topic, key, value);
            append(topic, key, value.getBytes(StandardCharsets.UTF_8));
        }

        private synchronized int append(String topic, String key, byte[] value) {
            List<Entry> entries = topics.computeIfAbsent(topic, name -> new ArrayList<>());
            entries.add(new Entry(key, value));
            notifyAll();
            return entries.size() - 1;
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    threads.execute(() -> serve(connection));
                }
            } catch (IOException closed) {
                // The run has ended.
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                OutputStream out = connection.getOutputStream();
                for (Head head = readHead(in); head != null; head = readHead(in)) {
                    byte[] answer = answer(head, readBody(in, head));
                    out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + answer.length + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    out.write(answer);
                    out.flush();
                }
            } catch (IOException | InterruptedException ended) {
                // The caller has left.
            }
        }

        private byte[] answer(Head head, byte[] body) throws InterruptedException, IOException {
            URI uri = URI.create(head.path());
            Map<String, String> query = new LinkedHashMap<>();
            for (String pair : String.valueOf(uri.getQuery()).split("&")) {
                int equals = pair.indexOf('=');
                query.put(equals < 0 ? pair : pair.substring(0, equals), pair.substring(equals + 1));
            }
            String topic = query.getOrDefault("topic", "");
            return switch (uri.getPath()) {
                case "/log-newest" -> newest(topic);
                case "/log-read" -> read(topic, Integer.parseInt(query.get("from")), Long.parseLong(query.getOrDefault("wait-ms", "0")));
                default -> {
                    int keyLength = body[4] & 0xff;
                    int offset = append(
                            topic,
                            new String(body, 5, keyLength, StandardCharsets.UTF_8),
                            java.util.Arrays.copyOfRange(body, 5 + keyLength, body.length));
                    yield Wire.text("appended", "first", offset, "end", offset + 1).getBytes(StandardCharsets.UTF_8);
                }
            };
        }

        private synchronized byte[] newest(String topic) {
            List<Entry> entries = topics.getOrDefault(topic, List.of());
            Map<String, String> newest = new LinkedHashMap<>();
            for (int offset = 0; offset < entries.size(); offset++) {
                Entry entry = entries.get(offset);
                newest.remove(entry.key());
                if (entry.value().length > 0) {
                    newest.put(entry.key(), "{\"key\":\"" + entry.key() + "\",\"value\":\""
                            + Base64.getEncoder().encodeToString(entry.value()) + "\",\"offset\":" + offset + "}");
                }
            }
            return Wire.text("newest", "entries", String.join(",", newest.values()), "end", entries.size())
                    .getBytes(StandardCharsets.UTF_8);
        }

        private synchronized byte[] read(String topic, int from, long waitMillis)
                throws InterruptedException, IOException {
            long end = millis() + waitMillis;
            while (topics.getOrDefault(topic, List.of()).size() <= from && millis() < end) {
                wait(Math.max(1, end - millis()));
            }
            List<Entry> entries = topics.getOrDefault(topic, List.of());
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            DataOutputStream out = new DataOutputStream(bytes);
            out.writeLong(entries.size());
            out.writeLong(0);
            for (Entry entry : entries.subList(Math.min(from, entries.size()), entries.size())) {
                byte[] key = entry.key().getBytes(StandardCharsets.UTF_8);
                out.writeInt(1 + key.length + entry.value().length);
                out.writeByte(key.length);
                out.write(key);
                out.write(entry.value());
            }
            return bytes.toByteArray();
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        return thread;
    }

    /** A server of a service. Each connection has a thread; its handler serves one request. */
    final class Server implements AutoCloseable {

        interface Handler {
            /** Serves a request whose head has been read; returns whether the connection is kept. */
            boolean serve(Server server, Head head, InputStream in, Socket connection) throws Exception;
        }

        final String id;
        final String service;
        final int slots;
        final long born = System.currentTimeMillis();
        final ServerSocket socket = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
        final AtomicInteger sequence = new AtomicInteger();
        private final Handler handler;
        final List<Socket> connections = new CopyOnWriteArrayList<>();
        private final ExecutorService threads = Executors.newCachedThreadPool(Stage::daemon);

        Server(String id, String service, int slots, Handler handler) throws IOException {
            this.id = id;
            this.service = service;
            this.slots = slots;
            this.handler = handler;
            threads.execute(this::accept);
            register("ready");
        }

        String address() {
            return "127.0.0.1:" + socket.getLocalPort();
        }

        void register(String state) {
            store.put(
                    Wire.text("topic.servers"),
                    id,
                    Wire.text(
                            "entry",
                            "service",
                            service,
                            "address",
                            address(),
                            "zone",
                            ZONE,
                            "slots",
                            slots,
                            "state",
                            state,
                            "born",
                            born,
                            "sequence",
                            sequence.incrementAndGet()));
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = socket.accept();
                    connection.setTcpNoDelay(true);
                    connections.add(connection);
                    threads.execute(() -> serve(connection));
                }
            } catch (IOException closed) {
                // The run has ended.
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                InputStream in = new BufferedInputStream(connection.getInputStream());
                for (Head head = readHead(in); head != null; head = readHead(in)) {
                    if (!handler.serve(this, head, in, connection)) {
                        return;
                    }
                }
            } catch (Exception ended) {
                write("server %s connection ended: %s", id, ended);
            } finally {
                connections.remove(connection);
            }
        }

        /** Head of an answer as a sound server gives it. */
        String answerHead(Head request, int status, String fields) {
            return "HTTP/1.1 " + status + " X\r\n" + Wire.text("request-id") + ": " + request.id() + "\r\n"
                    + Wire.text("stamp") + ": stamp-" + id + "\r\n" + fields + "\r\n";
        }

        @Override
        public void close() throws IOException {
            socket.close();
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    /** A router, started with the command of the deploy file. */
    final class Router implements AutoCloseable {

        final String name;
        final int front = freePort();
        final int ready = freePort();
        final int peer = freePort();
        final int admin = freePort();
        final Path log;
        private final String moreSettings;
        private final Path settings;
        Process process;

        Router(String name, String moreSettings) throws IOException {
            this.name = name;
            this.moreSettings = moreSettings;
            this.settings = directory.resolve(name + ".yaml");
            this.log = directory.resolve(name + ".log");
        }

        void start() throws IOException, InterruptedException {
            Map<String, String> values = new LinkedHashMap<>();
            values.put("{{node-name}}", name);
            values.put("{{zone}}", ZONE);
            values.put("{{zones|json}}", "{\"" + ZONE + "\":\"region-1\"}");
            values.put("{{listen.front}}", "127.0.0.1:" + front);
            values.put("{{listen.ready}}", "127.0.0.1:" + ready);
            values.put("{{ip}}:{{internal-ports.0}}", "127.0.0.1:" + peer);
            values.put("{{ip}}:{{internal-ports.1}}", "127.0.0.1:" + admin);
            values.put("{{platform.address}}", "127.0.0.1:" + store.port());
            values.put("{{bounds.grace-s}}", "8");
            values.put("{{bounds.retry-budget-ratio}}", "0.2");
            values.put("{{bounds.retry-slack}}", "52");
            values.put("{{bounds.retry-window-s}}", "10");
            values.put("{{bounds.cold-overrun}}", "1.5");
            values.put("{{bounds.cold-slack}}", "5");
            String text = Files.readString(Path.of("deploy/router.yaml"));
            for (Map.Entry<String, String> value : values.entrySet()) {
                text = text.replace(value.getKey(), value.getValue());
            }
            Files.writeString(settings, text + moreSettings);
            String run = Files.readAllLines(Path.of("deploy/system.toml")).stream()
                    .filter(line -> line.startsWith("run = "))
                    .findFirst()
                    .orElseThrow();
            run = run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
            List<String> command = new ArrayList<>(
                    List.of(run.replace("/etc/redwinghook/local.json", settings.toString()).split(" ")));
            process = new ProcessBuilder(command)
                    .redirectErrorStream(true)
                    .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                    .start();
            note("router %s started pid=%d", name, process.pid());
            long end = millis() + 20_000;
            while (millis() < end && process.isAlive()) {
                if (isReady()) {
                    note("router %s ready", name);
                    return;
                }
                Thread.sleep(50);
            }
            unable("router " + name + " did not become ready");
        }

        boolean isReady() {
            try (Socket socket = new Socket()) {
                socket.connect(new InetSocketAddress("127.0.0.1", ready), 1_000);
                socket.setSoTimeout(1_000);
                socket.getOutputStream()
                        .write("GET /readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
                                .getBytes(StandardCharsets.US_ASCII));
                Head head = readHead(socket.getInputStream());
                return head != null && head.status() == 200;
            } catch (IOException failure) {
                return false;
            }
        }

        long statusKilobytes(String field) {
            try {
                for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
                    if (line.startsWith(field + ":")) {
                        return Long.parseLong(line.replaceAll("\\D", ""));
                    }
                }
            } catch (IOException ended) {
                return -1;
            }
            return -1;
        }

        int descriptors() {
            String[] names = Path.of("/proc/" + process.pid() + "/fd").toFile().list();
            return names == null ? -1 : names.length;
        }

        Socket connect() throws IOException {
            Socket socket = new Socket();
            socket.connect(new InetSocketAddress("127.0.0.1", front), 1_000);
            socket.setTcpNoDelay(true);
            return socket;
        }

        void signal(String signal) throws IOException, InterruptedException {
            new ProcessBuilder("kill", "-" + signal, String.valueOf(process.pid())).start().waitFor();
            note("router %s SIG%s", name, signal);
        }

        @Override
        public void close() throws Exception {
            if (process != null) {
                process.destroyForcibly().waitFor(5, TimeUnit.SECONDS);
            }
        }
    }

    /** Writes a configuration with one tenant. */
    void configure(int version, String routes, String services) {
        store.put(
                Wire.text("topic.operators"),
                "config",
                Wire.text(
                        "configuration",
                        "version",
                        version,
                        "routes",
                        routes,
                        "services",
                        services,
                        "tenant",
                        TENANT,
                        "key",
                        KEY));
    }

    static String route(String prefix, String service, String type, int timeoutMillis, int attempts, boolean resumable) {
        return Wire.text(
                "route",
                "name",
                "r" + prefix.replace('/', '-'),
                "host",
                HOST,
                "prefix",
                prefix,
                "type",
                type,
                "timeout",
                timeoutMillis,
                "service",
                service,
                "attempts",
                attempts,
                "sticky",
                type.equals("streaming"),
                "resumable",
                resumable);
    }

    static String requestHead(String method, String path, String id, int deadlineMillis, String fields) {
        return method + " " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + Wire.text("request-id") + ": " + id
                + "\r\n" + Wire.text("deadline") + ": " + deadlineMillis + "\r\nAuthorization: Token " + KEY + "\r\n"
                + fields + "\r\n";
    }
}
