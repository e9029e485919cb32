import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** One of eight engines sends lines that are no events, without end, in the bodies of its streams. */
public final class Case6 {

    private static final int ENGINES = 8;
    private static final int DRAFTS = 24;
    private static final int EVENTS = 100;
    private static final long EVENT_MILLIS = 50;
    private static final int JUNK_BYTES = 16 * 1024;

    /** Pause between two writes of a stream's junk: 16 KiB in 2 ms are 65 Mbit/s; a machine's link has 2,000. */
    private static final long JUNK_PAUSE_MILLIS = 2;

    private Case6() {}

    public static void main(String[] arguments) throws Exception {
        Stage stage = new Stage(Path.of(arguments[0]));
        stage.configure(
                1,
                Stage.route("/draft/", "engines", "streaming", 39_000, 1, false) + "," + Lookups.route(),
                "{\"name\":\"engines\"},{\"name\":\"desk\"}");
        Lookups.startServers(stage, 3);
        AtomicInteger faulty = new AtomicInteger();
        AtomicLong junkBytes = new AtomicLong();
        byte[] junk = new byte[JUNK_BYTES];
        Arrays.fill(junk, (byte) '\n');
        for (int number = 1; number <= ENGINES; number++) {
            boolean isFaulty = number == 1 && stage.trouble;
            stage.startServer("engine-" + number, "engines", (server, head, in, connection) -> {
                Stage.readBody(in, head);
                OutputStream out = connection.getOutputStream();
                out.write(server.answerHead(
                                head, 200, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n")
                        .getBytes(StandardCharsets.US_ASCII));
                stage.write("engine %s runs %s faulty=%s", server.id, head.id(), isFaulty);
                if (isFaulty) {
                    faulty.incrementAndGet();
                    while (true) {
                        write(out, junk);
                        junkBytes.addAndGet(junk.length);
                        Thread.sleep(JUNK_PAUSE_MILLIS);
                    }
                }
                for (int event = 1; event <= EVENTS; event++) {
                    write(out, ("id: " + event + "\ndata: " + "x".repeat(280) + "\n\n")
                            .getBytes(StandardCharsets.US_ASCII));
                    Thread.sleep(EVENT_MILLIS);
                }
                out.write("0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                return true;
            });
        }
        Stage.Router router = stage.startRouter("router-1");
        Lookups lookups = new Lookups(stage, router);
        lookups.start(10);
        Thread.sleep(5_000);
        for (int number = 1; number <= DRAFTS; number++) {
            int draft = number;
            Stage.daemon(() -> draft(stage, router, draft)).start();
            Thread.sleep(40);
        }
        Thread.sleep(25_000);
        lookups.finish();
        lookups.judge("draftsAtTheFaultyEngine=" + faulty.get() + " junkBytes=" + junkBytes.get());
    }

    private static void write(OutputStream out, byte[] bytes) throws IOException {
        out.write((Integer.toHexString(bytes.length) + "\r\n").getBytes(StandardCharsets.US_ASCII));
        out.write(bytes);
        out.write("\r\n".getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** A sound caller of a stream: it reads all that arrives, as soon as it arrives. */
    private static void draft(Stage stage, Stage.Router router, int number) {
        String id = "draft-" + number;
        long read = 0;
        String end = "closed";
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(40_000);
            socket.getOutputStream()
                    .write(Stage.requestHead(
                                    "POST",
                                    "/draft/" + number,
                                    id,
                                    39_000,
                                    Wire.generation(200, 400, "5c1e07a2:79,9100" + number + ":121")
                                            + "Content-Length: 0\r\n")
                            .getBytes(StandardCharsets.US_ASCII));
            byte[] buffer = new byte[64 * 1024];
            for (int size = socket.getInputStream().read(buffer); size > 0; size = socket.getInputStream().read(buffer)) {
                read += size;
                if (new String(buffer, 0, size, StandardCharsets.ISO_8859_1).endsWith("0\r\n\r\n")) {
                    end = "complete";
                    break;
                }
            }
        } catch (IOException failure) {
            end = failure.toString();
        }
        stage.write("draft id=%s read=%d end=%s", id, read, end);
    }
}
