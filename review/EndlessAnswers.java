import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** One answer of one server goes on without end, at no more than the speed of a machine's link. */
final class EndlessAnswers {

    private static final int CHUNK_BYTES = 16_384;
    private static final int CLIENTS = 8;

    /** Speed of the endless answer: half of the link of an edge machine, a quarter of that of a server's. */
    private static final int MEGABITS_PER_SECOND = 500;

    /** Time after which a client abandons a draft without an event: four times the latency objective. */
    private static final int ABANDON_MILLIS = 7_200;

    private static final int WATCH_SECONDS = 20;

    private EndlessAnswers() {}

    /**
     * Runs the case.
     *
     * @param status status of the answer that does not end
     */
    static boolean run(Deployment deployment, Journal journal, boolean withTrouble, String status) throws Exception {
        AtomicInteger endless = new AtomicInteger();
        EndpointStandIn.Behaviour behaviour = (self, request, output) -> {
            String id = request.header(Wire.REQUEST_ID);
            journal.add("server " + self.id + " runs " + id);
            if (withTrouble && id.equals("unlucky") && endless.incrementAndGet() == 1) {
                sendWithoutEnd(journal, self, request, output, status);
                return;
            }
            if (request.firstLine.contains("/draft/")) {
                sendEvents(self, request, output);
                return;
            }
            Thread.sleep(15);
            self.answer(request, output, "filed");
        };
        deployment.store.put(Wire.OPERATORS, "config", Configuration.of(1, Map.of("huka270", List.of(Configuration.KEY))));
        for (String id : List.of("i-1", "i-2", "i-3")) {
            deployment.addEndpoint(id, "desk-app", behaviour);
        }
        for (String id : List.of("i-4", "i-5", "i-6")) {
            deployment.addEndpoint(id, "drafting-models", behaviour);
        }
        Deployment.Router router = deployment.addRouter("edge-1", "127.0.0.1");
        router.awaitReady();
        try (Calls calls = new Calls(journal, router, Configuration.KEY, CLIENTS)) {
            // The router is in touch: contact-ms of the sheet is 4 s.
            Thread.sleep(6_000);
            Thread unlucky = new Thread(() -> sendUnlucky(journal, router), "unlucky");
            unlucky.setDaemon(true);
            unlucky.start();
            for (int second = 1; second <= WATCH_SECONDS; second++) {
                Thread.sleep(1_000);
                journal.add(second + " s after the unlucky request was sent: calls ended "
                        + calls.copy().stream().filter(call -> call.status != 0).count() + " of "
                        + calls.copy().size() + ", router runs: " + router.isAlive());
            }
            return calls.isTimeoutRuleBroken(Configuration.CALL_TIMEOUT_MILLIS);
        }
    }

    private static void sendUnlucky(Journal journal, Deployment.Router router) {
        byte[] body = "notice".getBytes(StandardCharsets.ISO_8859_1);
        long startNanos = System.nanoTime();
        try (Client client = new Client(router.ip, router.front, ABANDON_MILLIS)) {
            journal.add("client sends unlucky");
            Http.Message answer = client.exchange(
                    Configuration.requestHead(
                            "/draft/1", "unlucky", Configuration.KEY, Configuration.DRAFT_TIMEOUT_MILLIS, body.length),
                    body);
            journal.add("unlucky answered " + answer.status + " after "
                    + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
        } catch (IOException exception) {
            journal.add("unlucky ended after " + (System.nanoTime() - startNanos) / 1_000_000 + " ms: " + exception);
        }
    }

    private static void sendEvents(EndpointStandIn self, Http.Message request, OutputStream output) throws Exception {
        write(output, self.successHead(request) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int number = 1; number <= 5; number++) {
            String event = "id: " + number + "\ndata: piece " + number + "\n\n";
            write(output, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
            Thread.sleep(20);
        }
        write(output, "0\r\n\r\n");
    }

    private static void sendWithoutEnd(
            Journal journal, EndpointStandIn self, Http.Message request, OutputStream output, String status)
            throws Exception {
        byte[] chunk = new byte[CHUNK_BYTES];
        Arrays.fill(chunk, (byte) 'x');
        long startNanos = System.nanoTime();
        long sent = 0;
        try {
            write(output, self.successHead(request).replace("200 OK", status) + "Transfer-Encoding: chunked\r\n\r\n");
            while (true) {
                write(output, Integer.toHexString(CHUNK_BYTES) + "\r\n");
                output.write(chunk);
                write(output, "\r\n");
                sent += CHUNK_BYTES;
                long dueNanos = startNanos + sent * 8_000 / MEGABITS_PER_SECOND;
                long waitMillis = (dueNanos - System.nanoTime()) / 1_000_000;
                if (waitMillis > 0) {
                    Thread.sleep(waitMillis);
                }
            }
        } finally {
            journal.add("server " + self.id + " sent " + sent + " bytes until the router closed its channel, "
                    + (System.nanoTime() - startNanos) / 1_000_000 + " ms");
        }
    }

    private static void write(OutputStream output, String text) throws IOException {
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }
}
