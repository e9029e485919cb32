import common3.Client;
import common3.Config;
import common3.Deployment;
import common3.HttpPort;
import common3.Names;
import common3.Router;
import common3.Server;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Both routers are stopped in turn, a second apart, in calm. A stream that a stopping router takes late in its stop must
 * not be broken off.
 */
public final class StoppedStreams {

    private static final int ENGINES = 6;
    private static final int PROMPT_TOKENS = 2_200;
    private static final int EVENTS = 11;
    private static final int TOKENS_PER_EVENT = 4;
    private static final int FIRST_EVENT_MILLIS = 1_450;
    private static final int GAP_MILLIS = 150;
    private static final int REQUEST_INTERVAL_MILLIS = 125;
    private static final int STOP_GAP_MILLIS = 1_000;
    private static final int GRACE_MILLIS = 8_000;
    private static final int EXCUSED_MILLIS = 3_000;
    private static final int DEADLINE_MILLIS = 6_000;

    private static volatile boolean isOver;
    private static final AtomicInteger NUMBER = new AtomicInteger();

    private record Stream(String attempt, String router, long sentMillis, int status, boolean complete, String text) {}

    private StoppedStreams() {}

    public static void main(String[] arguments) throws Exception {
        boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
        int result;
        try (Deployment deployment = new Deployment(Path.of(arguments[0]))) {
            result = run(deployment, isTrouble);
            deployment.journal.add("exit " + result);
        } catch (Exception failure) {
            failure.printStackTrace();
            result = 2;
        }
        System.exit(result);
    }

    private static int run(Deployment deployment, boolean isTrouble) throws Exception {
        for (int index = 1; index <= ENGINES; index++) {
            addEngine(deployment, "i-model-" + index);
        }
        deployment.writeConfig(
                new Config(5)
                        .route("triage", "/triage/", "streaming", "models", DEADLINE_MILLIS, 1_500, 1)
                        .engines("models")
                        .key("k-1"),
                "version 5");
        for (String name : List.of("edge-a", "edge-b")) {
            deployment.addRouter(name);
        }
        for (Router router : deployment.routers) {
            router.awaitReady();
        }
        Thread.sleep(4_000);
        LoadBalancer balancer = new LoadBalancer(deployment);
        List<Stream> streams = new CopyOnWriteArrayList<>();
        HttpPort.startThread(() -> sendStreams(deployment, balancer, streams));
        Thread.sleep(6_000);
        Map<String, Long> stoppedMillis = new ConcurrentHashMap<>();
        for (Router router : deployment.routers) {
            if (isTrouble) {
                stoppedMillis.put(router.name, deployment.journal.millis());
                HttpPort.startThread(() -> restartAfterEnd(router));
                router.signal("TERM");
            }
            Thread.sleep(STOP_GAP_MILLIS);
        }
        Thread.sleep(GRACE_MILLIS + 4_000);
        isOver = true;
        Thread.sleep(DEADLINE_MILLIS + 1_000);
        deployment.keepLogs(Path.of("target/review-3/logs-11"));
        return judge(deployment, streams, stoppedMillis);
    }

    /** Counts the streams that were sent later than 3 s after SIGTERM, reached a server and ended without their end. */
    private static int judge(Deployment deployment, List<Stream> streams, Map<String, Long> stoppedMillis) {
        List<String> run = new ArrayList<>();
        deployment.runs.forEach(entry -> run.add(entry.attempt()));
        int lost = 0;
        int excused = 0;
        int served = 0;
        int refused = 0;
        for (Stream stream : streams) {
            served += stream.status() == 200 && stream.complete() ? 1 : 0;
            refused += stream.status() == 503 ? 1 : 0;
            Long stopped = stoppedMillis.get(stream.router());
            if (stopped == null || stream.complete() || !run.contains(stream.attempt())) {
                continue;
            }
            long afterMillis = stream.sentMillis() - stopped;
            if (afterMillis <= EXCUSED_MILLIS || afterMillis > GRACE_MILLIS + 1_000) {
                excused++;
                continue;
            }
            lost++;
            deployment.journal.add("lost: " + stream.attempt() + " at " + stream.router() + ", sent " + afterMillis
                    + " ms after SIGTERM, status " + stream.status());
        }
        String result = "streams " + streams.size() + ", served " + served + ", refused " + refused
                + ", lost later than 3 s after SIGTERM " + lost + ", broken off otherwise " + excused;
        deployment.journal.add(result);
        System.out.println(result);
        return lost > 0 ? 1 : 0;
    }

    private static void addEngine(Deployment deployment, String id) throws Exception {
        Server engine = deployment.addServer(id, "models");
        engine.setAnswering((request, socket) -> {
            engine.recordRun(request);
            Thread.sleep(FIRST_EVENT_MILLIS);
            StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
            Server.stamped(request)
                    .forEach((name, value) ->
                            head.append(name).append(": ").append(value).append("\r\n"));
            head.append("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            HttpPort.write(socket, head.toString().getBytes(StandardCharsets.ISO_8859_1));
            for (int event = 1; event <= EVENTS; event++) {
                if (event > 1) {
                    Thread.sleep(GAP_MILLIS);
                }
                String text = "id: " + event + "\ndata: text\n\n";
                HttpPort.write(
                        socket,
                        (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
                                .getBytes(StandardCharsets.ISO_8859_1));
            }
            HttpPort.write(socket, "0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
            return true;
        });
    }

    /** The platform's load balancer: asks for readiness each second, and uses all routers if fewer than half are ready. */
    private static final class LoadBalancer {

        private static final int CHECK_MILLIS = 1_000;
        private static final int MISSES = 2;

        private final List<Router> routers;
        private final Map<String, Integer> misses = new ConcurrentHashMap<>();
        private final AtomicInteger next = new AtomicInteger();

        LoadBalancer(Deployment deployment) {
            this.routers = deployment.routers;
            HttpPort.startThread(() -> {
                while (true) {
                    for (Router router : routers) {
                        boolean isReady = Client.get(router.readyPort, "/readyz") == 200;
                        misses.put(router.name, isReady ? 0 : misses.getOrDefault(router.name, 0) + 1);
                    }
                    try {
                        Thread.sleep(CHECK_MILLIS);
                    } catch (InterruptedException interrupted) {
                        return;
                    }
                }
            });
        }

        Router choose() {
            List<Router> rotation = routers.stream()
                    .filter(router -> misses.getOrDefault(router.name, 0) < MISSES)
                    .toList();
            List<Router> used = rotation.size() * 2 < routers.size() ? routers : rotation;
            return used.get(Math.floorMod(next.getAndIncrement(), used.size()));
        }
    }

    private static void restartAfterEnd(Router router) {
        try {
            router.process().waitFor();
            Thread.sleep(200);
            router.start();
        } catch (Exception exception) {
            exception.printStackTrace();
        }
    }

    private static void sendStreams(Deployment deployment, LoadBalancer balancer, List<Stream> streams) {
        while (!isOver) {
            HttpPort.startThread(() -> sendStream(deployment, balancer.choose(), streams));
            try {
                Thread.sleep(REQUEST_INTERVAL_MILLIS);
            } catch (InterruptedException interrupted) {
                return;
            }
        }
    }

    private static void sendStream(Deployment deployment, Router router, List<Stream> streams) {
        int number = NUMBER.incrementAndGet();
        String attempt = "triage-" + number;
        String prompt = Names.message(
                "prompt",
                "prompt",
                PROMPT_TOKENS,
                "output",
                EVENTS * TOKENS_PER_EVENT,
                "parts",
                "5c1e07a2:210," + Integer.toHexString(0x100_0000 + number) + ":1990");
        long sentMillis = deployment.journal.millis();
        try (Socket socket = new Socket("127.0.0.1", router.callerPort)) {
            HttpPort.write(
                    socket,
                    (Client.head("POST", "/triage/1", attempt, DEADLINE_MILLIS, "k-1", 2, prompt) + "hi")
                            .getBytes(StandardCharsets.ISO_8859_1));
            Client.Answer answer = Client.receive(socket, DEADLINE_MILLIS + 500);
            streams.add(new Stream(
                    attempt, router.name, sentMillis, answer.status(), answer.complete(), answer.text()));
            deployment.journal.add("client: " + router.name + " " + attempt + " sent at " + sentMillis + " -> "
                    + answer.status() + (answer.complete() ? "" : ", incomplete after " + answer.body().length
                            + " bytes of its body"));
        } catch (ConnectException noChannel) {
            deployment.journal.add("client: " + router.name + " " + attempt + " no channel");
        } catch (Exception exception) {
            streams.add(new Stream(attempt, router.name, sentMillis, 0, false, exception.toString()));
            deployment.journal.add("client: " + router.name + " " + attempt + " " + exception);
        }
    }
}
