import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** Ordinary callers of an idempotent route: small requests at a steady rate, each on a new channel, answered by sound servers. */
final class Lookups {

    static final String PREFIX = "/lookup/";
    static final String SERVICE = "desk";

    /** The route's timeout-ms, that of status-lookup in the sites. */
    static final int TIMEOUT_MILLIS = 1_500;

    /** Time after which a caller of this test stops listening, well beyond the rule's half second. */
    private static final int LISTEN_MILLIS = 6_000;

    private static final int HALF_SECOND_MILLIS = 500;

    /** Fewer requests than this unanswered at their time-out are not judged. */
    private static final int LEAST_UNANSWERED = 10;

    private final Stage stage;
    private final Stage.Router router;
    private final List<Call> calls = new CopyOnWriteArrayList<>();
    private final AtomicInteger numbers = new AtomicInteger();
    private final ExecutorService threads = Executors.newCachedThreadPool(Stage::daemon);
    private final ScheduledExecutorService schedule = Executors.newScheduledThreadPool(1, Stage::daemon);

    private static final class Call {
        final String id;
        final long sentMillis = Stage.millis();
        volatile String outcome = "silent";
        volatile boolean isSent;

        /** Time until the answer was complete or the channel ended. */
        volatile long endedMillis = Long.MAX_VALUE;

        volatile boolean isAnswered;

        Call(String id) {
            this.id = id;
        }
    }

    Lookups(Stage stage, Stage.Router router) {
        this.stage = stage;
        this.router = router;
    }

    static String route() {
        return Stage.route(PREFIX, SERVICE, "idempotent", TIMEOUT_MILLIS, 2, false);
    }

    static void startServers(Stage stage, int count) throws IOException {
        for (int number = 1; number <= count; number++) {
            stage.startServer("desk-" + number, SERVICE, 6, (server, head, in, connection) -> {
                Stage.readBody(in, head);
                Thread.sleep(20);
                byte[] body = "x".repeat(800).getBytes(StandardCharsets.US_ASCII);
                connection.getOutputStream()
                        .write(server.answerHead(head, 200, "Content-Length: " + body.length + "\r\n")
                                .getBytes(StandardCharsets.US_ASCII));
                connection.getOutputStream().write(body);
                return true;
            });
        }
    }

    void start(int perSecond) {
        schedule.scheduleAtFixedRate(
                () -> threads.execute(this::call), 0, 1_000_000 / perSecond, TimeUnit.MICROSECONDS);
    }

    /** Stops sending and waits for the answers. */
    void finish() throws InterruptedException {
        schedule.shutdownNow();
        Thread.sleep(LISTEN_MILLIS + 500);
    }

    private void call() {
        Call call = new Call("lookup-" + numbers.incrementAndGet());
        calls.add(call);
        try (Socket socket = router.connect()) {
            socket.setSoTimeout(LISTEN_MILLIS);
            socket.getOutputStream()
                    .write(Stage.requestHead("GET", PREFIX + call.id, call.id, TIMEOUT_MILLIS, "")
                            .getBytes(StandardCharsets.US_ASCII));
            call.isSent = true;
            InputStream in = new BufferedInputStream(socket.getInputStream());
            Stage.Head head = Stage.readHead(in);
            if (head == null) {
                call.outcome = "closed";
            } else {
                Stage.readBody(in, head);
                call.outcome = String.valueOf(head.status());
                call.isAnswered = true;
            }
        } catch (IOException failure) {
            call.outcome = failure.toString();
        }
        call.endedMillis = Stage.millis() - call.sentMillis;
        stage.write("lookup id=%s sent=%d outcome=%s took=%d", call.id, call.sentMillis, call.outcome, call.endedMillis);
    }

    /** Ends the run by the rule CONFIG on requests that are unanswered at their route's timeout-ms. */
    void judge(String more) {
        int unanswered = 0;
        int late = 0;
        int served = 0;
        int notSent = 0;
        for (Call call : calls) {
            if (!call.isSent) {
                // Without a channel there was no request.
                notSent++;
                continue;
            }
            served += call.outcome.equals("200") ? 1 : 0;
            if (call.endedMillis > TIMEOUT_MILLIS) {
                unanswered++;
                late += !call.isAnswered || call.endedMillis > TIMEOUT_MILLIS + HALF_SECOND_MILLIS ? 1 : 0;
            }
        }
        boolean broken = unanswered >= LEAST_UNANSWERED && 2 * late > unanswered;
        stage.end(
                broken,
                "lookups=" + calls.size() + " notSent=" + notSent + " served=" + served + " unansweredAtTimeout=" + unanswered
                        + " withoutAnswerHalfASecondLater=" + late + " " + more);
    }
}
