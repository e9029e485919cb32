import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An engine leaves while its streams run, and every second of the channels on which it is asked to stop a run is reset as
 * soon as it has the request. The streams have neither a length nor chunks. Without the trouble no channel is reset.
 */
public final class Case8 {

    private static final int DRAFTS = 12;
    private static final int EVENTS = 150;
    private static final long EVENT_MILLIS = 30;

    /** Time of a copy of a run's memory. */
    private static final long COPY_MILLIS = 60;

    /** Time until a run stops: a step of the engine takes 7 ms and more. */
    private static final long STEP_MILLIS = 10;

    private static final Map<String, Run> runs = new ConcurrentHashMap<>();
    private static final Map<String, Run> handles = new ConcurrentHashMap<>();
    private static final AtomicInteger handleNumbers = new AtomicInteger();
    private static final AtomicInteger stops = new AtomicInteger();
    private static final AtomicInteger resets = new AtomicInteger();
    private static final AtomicInteger complete = new AtomicInteger();
    private static final AtomicInteger completeEarly = new AtomicInteger();
    private static final AtomicInteger cut = new AtomicInteger();
    private static final AtomicInteger disordered = new AtomicInteger();

    /** A run at an engine. */
    private static final class Run {
        final String id;
        final String engine;
        final Socket connection;
        int made;
        boolean isStopped;

        Run(String id, String engine, Socket connection, int made) {
            this.id = id;
            this.engine = engine;
            this.connection = connection;
            this.made = made;
        }
    }

    private Case8() {}

    public static void main(String[] arguments) throws Exception {
        Stage stage = new Stage(Path.of(arguments[0]));
        stage.configure(
                1,
                Stage.route("/draft/", "engines", "streaming", 39_000, 1, false),
                "{\"name\":\"engines\",\"engine\":{\"slots\":32,\"kv-capacity\":34342,\"kv-bytes\":35136,"
                        + "\"link-mbps\":5100.0,\"moves\":true,\"backups\":true}}");
        Stage.Server first = startEngine(stage, "engine-1");
        Stage.Router router = stage.startRouter("router-1");
        CountDownLatch ended = new CountDownLatch(DRAFTS);
        for (int number = 1; number <= DRAFTS; number++) {
            int draft = number;
            Stage.daemon(() -> {
                        draft(stage, router, draft);
                        ended.countDown();
                    })
                    .start();
            Thread.sleep(20);
        }
        Thread.sleep(1_000);
        for (int number = 2; number <= 4; number++) {
            startEngine(stage, "engine-" + number);
        }
        Thread.sleep(500);
        first.register("draining");
        if (!ended.await(30, TimeUnit.SECONDS)) {
            stage.unable("a stream did not end");
        }
        stage.end(
                completeEarly.get() + disordered.get() > 0,
                "drafts=" + DRAFTS + " stopCalls=" + stops.get() + " ofTheseReset=" + resets.get() + " complete="
                        + complete.get() + " completeBeforeTheLastEvent=" + completeEarly.get() + " cutOff=" + cut.get()
                        + " disordered=" + disordered.get());
    }

    private static Stage.Server startEngine(Stage stage, String id) throws IOException {
        return stage.startServer(id, "engines", (server, head, in, connection) -> {
            String body = new String(Stage.readBody(in, head), StandardCharsets.UTF_8);
            if (head.path().equals(Wire.text("call.move"))) {
                return move(stage, server, body, connection);
            }
            if (head.path().startsWith(Wire.text("call.handle")) || head.path().equals("/report")) {
                answer(connection, 200, "{\"state\":\"ready\"}");
                return true;
            }
            return run(stage, server, head, connection);
        });
    }

    private static boolean run(Stage stage, Stage.Server server, Stage.Head head, Socket connection) throws Exception {
        String id = head.id();
        String copy = head.get("kv-from");
        String last = head.get("last-event-id");
        if (copy != null && handles.remove(copy) == null) {
            connection.getOutputStream()
                    .write(("HTTP/1.1 503 X\r\n" + Wire.text("not-run") + ": 1\r\nContent-Length: 0\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            return true;
        }
        Run run = new Run(id, server.id, connection, last == null ? 0 : Integer.parseInt(last));
        runs.put(id, run);
        stage.write("engine %s runs %s after event %d copy=%s", server.id, id, run.made, copy);
        OutputStream out = connection.getOutputStream();
        // Neither a length nor chunks: the answer ends with its channel.
        out.write(server.answerHead(head, 200, "Content-Type: text/event-stream\r\nConnection: close\r\n")
                .getBytes(StandardCharsets.US_ASCII));
        while (run.made < EVENTS) {
            Thread.sleep(EVENT_MILLIS);
            synchronized (run) {
                if (run.isStopped) {
                    return false;
                }
                int event = run.made + 1;
                out.write(("id: " + event + "\ndata: " + id + " " + event + "\n\n").getBytes(StandardCharsets.US_ASCII));
                run.made = event;
            }
        }
        return false;
    }

    private static boolean move(Stage stage, Stage.Server server, String body, Socket connection) throws Exception {
        String id = field(body, "id");
        Run run = runs.get(id);
        if (run == null || !run.engine.equals(server.id) || run.isStopped) {
            answer(connection, 404, "{}");
            return true;
        }
        if (!body.contains("\"last\"")) {
            Thread.sleep(COPY_MILLIS);
            answer(connection, 200, Wire.text("copied", "handle", "copy-" + handleNumbers.incrementAndGet(), "events", run.made));
            return true;
        }
        boolean isReset = stops.incrementAndGet() % 2 == 0 && stage.trouble;
        if (isReset) {
            resets.incrementAndGet();
            // The channel is reset on its way after the engine has got the request.
            connection.setSoLinger(true, 0);
            connection.close();
        }
        Thread.sleep(STEP_MILLIS);
        synchronized (run) {
            run.isStopped = true;
            run.connection.close();
        }
        String handle = "copy-" + handleNumbers.incrementAndGet();
        handles.put(server.address() + "/" + handle, run);
        stage.write("engine %s stopped %s after event %d answerLost=%s", server.id, id, run.made, isReset);
        if (isReset) {
            return false;
        }
        answer(connection, 200, Wire.text("copied", "handle", handle, "events", run.made));
        return true;
    }

    private static String field(String json, String name) {
        int start = json.indexOf("\"" + name + "\":\"") + name.length() + 4;
        return json.substring(start, json.indexOf('"', start));
    }

    private static void answer(Socket connection, int status, String body) throws IOException {
        connection.getOutputStream()
                .write(("HTTP/1.1 " + status + " X\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length() + "\r\n\r\n" + body)
                        .getBytes(StandardCharsets.US_ASCII));
    }

    private static void draft(Stage stage, Stage.Router router, int number) {
        String id = "draft-" + number;
        StringBuilder body = new StringBuilder();
        String end;
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(20_000);
            socket.getOutputStream()
                    .write(Stage.requestHead(
                                    "POST",
                                    "/draft/" + number,
                                    id,
                                    39_000,
                                    Wire.generation(200, 600, "5c1e07a2:79,9100" + number + ":121")
                                            + "Content-Length: 0\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Stage.Head head = Stage.readHead(in);
            end = head == null ? "closed" : String.valueOf(head.status());
            if (end.equals("200")) {
                end = readStream(in, body) ? "complete" : "cut off";
            }
        } catch (IOException failure) {
            end = "cut off";
        }
        int last = 0;
        for (String event : body.toString().split("\n\n")) {
            if (event.isEmpty()) {
                continue;
            }
            int eventNumber = Integer.parseInt(event.substring(4, event.indexOf('\n')));
            if (eventNumber != last + 1 || !event.contains("data: " + id + " ")) {
                disordered.incrementAndGet();
            }
            last = eventNumber;
        }
        if (end.equals("complete")) {
            (last == EVENTS ? complete : completeEarly).incrementAndGet();
        } else {
            cut.incrementAndGet();
        }
        stage.write("caller %s end=%s lastEvent=%d of %d", id, end, last, EVENTS);
    }

    /** Reads a chunked stream; returns whether it ended with its last chunk. */
    private static boolean readStream(InputStream in, StringBuilder body) throws IOException {
        try {
            while (true) {
                int size = Integer.parseInt(Stage.readLine(in).trim(), 16);
                body.append(new String(in.readNBytes(size), StandardCharsets.UTF_8));
                Stage.readLine(in);
                if (size == 0) {
                    return true;
                }
            }
        } catch (EOFException end) {
            return false;
        }
    }
}
