import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One part of a prompt crashes each engine that begins to write an answer on it. It is the 36th of 40 parts. Without the
 * trouble no part crashes an engine. The variables PARTS_BEFORE and ID_CHARACTERS set another place of the part and
 * another length of the identifiers.
 */
public final class Case10 {

    private static final int ENGINES = 8;
    private static final int EVENTS = 60;
    private static final long EVENT_MILLIS = 50;

    /** Time until a crashed engine is back: some seconds. */
    private static final long BACK_MILLIS = 2_500;

    /** Time after which the entry of an engine that sends nothing is removed: three heartbeats. */
    private static final long SILENCE_MILLIS = 3_600;

    /** The site's contact-ms. */
    private static final long CONTACT_MILLIS = 4_000;

    private static final int FIRST_JUDGED_CRASH = 5;
    private static final int ALLOWED_REQUESTS = 3;
    private static final int ID_CHARACTERS =
            Integer.parseInt(System.getenv().getOrDefault("ID_CHARACTERS", "8"));

    /** Shared parts of a prompt, before and after the place of the bad one. */
    private static final int PARTS_BEFORE = Integer.parseInt(System.getenv().getOrDefault("PARTS_BEFORE", "35"));

    private static final int PARTS_AFTER = 3;

    private static final List<Long> crashes = new CopyOnWriteArrayList<>();
    private static final List<Long> badAtEngines = new CopyOnWriteArrayList<>();
    private static final AtomicInteger engineNumbers = new AtomicInteger();
    private static final Map<String, Integer> outcomes = new TreeMap<>();

    private Case10() {}

    public static void main(String[] arguments) throws Exception {
        Stage stage = new Stage(Path.of(arguments[0]));
        stage.configure(
                1, Stage.route("/draft/", "engines", "streaming", 39_000, 1, false), "{\"name\":\"engines\"}");
        for (int number = 1; number <= ENGINES; number++) {
            startEngine(stage);
        }
        List<Stage.Router> routers = List.of(stage.startRouter("router-1"), stage.startRouter("router-2"));
        Thread.sleep(1_000);
        long end = Stage.millis() + 50_000;
        for (int number = 1; Stage.millis() < end; number++) {
            int draft = number;
            // Every fifth request has the part; the others share their caller and the other parts with it.
            boolean isBad = number % 5 == 0 && number > 20;
            Stage.Router router = routers.get(number % 2);
            Stage.daemon(() -> draft(stage, router, draft, isBad)).start();
            Thread.sleep(100);
        }
        Thread.sleep(5_000);
        long since = crashes.size() < FIRST_JUDGED_CRASH ? Long.MAX_VALUE : crashes.get(FIRST_JUDGED_CRASH - 1) + CONTACT_MILLIS;
        long late = badAtEngines.stream().filter(at -> at > since).count();
        stage.end(
                late > ALLOWED_REQUESTS,
                "crashes=" + crashes.size() + " requestsWithThePartLaterThanContactMsAfterTheFifthCrash=" + late
                        + " outcomes=" + outcomes);
    }

    private static String id(String seed) {
        return seed.repeat(ID_CHARACTERS / seed.length() + 1).substring(0, ID_CHARACTERS);
    }

    private static void startEngine(Stage stage) throws IOException {
        stage.startServer("engine-" + engineNumbers.incrementAndGet(), "engines", (server, head, in, connection) -> {
            Stage.readBody(in, head);
            boolean isBad = head.get("redwinghook-prompt-prefix").contains(id("bad0"));
            // The prompt is read before the answer begins.
            Thread.sleep(60);
            if (isBad) {
                badAtEngines.add(Stage.millis());
                stage.write("engine %s got %s", server.id, head.id());
                if (stage.trouble) {
                    crash(stage, server);
                    return false;
                }
            }
            OutputStream out = connection.getOutputStream();
            out.write(server.answerHead(head, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            for (int event = 1; event <= EVENTS; event++) {
                String text = "id: " + event + "\ndata: " + "x".repeat(280) + "\n\n";
                out.write((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(EVENT_MILLIS);
            }
            out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            return true;
        });
    }

    /** The engine's process ends: all its channels are reset. Another one comes after some seconds. */
    private static void crash(Stage stage, Stage.Server server) throws IOException {
        synchronized (server) {
            if (server.socket.isClosed()) {
                return;
            }
            crashes.add(Stage.millis());
            stage.write("engine %s crashed runs=%d", server.id, server.connections.size());
            server.socket.close();
            for (Socket connection : server.connections) {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        }
        Stage.daemon(() -> {
                    try {
                        Thread.sleep(BACK_MILLIS);
                        startEngine(stage);
                        Thread.sleep(SILENCE_MILLIS - BACK_MILLIS);
                        stage.store.put(Wire.text("topic.servers"), server.id, "");
                    } catch (InterruptedException | IOException failure) {
                        stage.note("engine not started: %s", failure);
                    }
                })
                .start();
    }

    private static void draft(Stage stage, Stage.Router router, int number, boolean isBad) {
        String id = (isBad ? "bad-" : "sound-") + number;
        StringBuilder prompt = new StringBuilder();
        for (int part = 1; part <= PARTS_BEFORE + PARTS_AFTER; part++) {
            prompt.append(id("a" + number % 4 + part + "f")).append(":5,");
            if (isBad && part == PARTS_BEFORE) {
                prompt.append(id("bad0")).append(":5,");
            }
        }
        prompt.append(id("c" + number + "d")).append(":50");
        String outcome;
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(40_000);
            socket.getOutputStream()
                    .write(Stage.requestHead(
                                    "POST",
                                    "/draft/" + number,
                                    id,
                                    39_000,
                                    Wire.generation(240, 240, prompt.toString()) + "Content-Length: 0\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Stage.Head head = Stage.readHead(in);
            outcome = head == null ? "closed" : String.valueOf(head.status());
            if (head != null) {
                Stage.readBody(in, head);
            }
        } catch (IOException failure) {
            outcome = "broken off";
        }
        stage.write("draft id=%s outcome=%s", id, outcome);
        synchronized (outcomes) {
            outcomes.merge((isBad ? "bad " : "sound ") + outcome, 1, Integer::sum);
        }
    }
}
