package common3;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/** Sends a lookup to each router at a fixed interval and counts those that are answered too late. */
public final class Lookups {

    /** Time-out of the lookups' route, in milliseconds. */
    public static final int TIMEOUT_MILLIS = 1_500;

    /** Time after the time-out by which an answer is due, in milliseconds. */
    private static final int SLACK_MILLIS = 500;

    private static final int INTERVAL_MILLIS = 200;
    private static final int PATIENCE_MILLIS = 3_000;

    /** Smallest number of unanswered lookups that counts. */
    private static final int MINIMUM_UNANSWERED = 8;

    private record Lookup(int status, long tookMillis) {}

    private final Deployment deployment;
    private final AtomicInteger number = new AtomicInteger();
    private final List<Lookup> lookups = new CopyOnWriteArrayList<>();
    private final List<Thread> senders = new ArrayList<>();
    private volatile boolean isOver;

    public Lookups(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Adds the route and its service to a configuration. */
    public static Config addTo(Config config, String service) {
        return config.route("lookup", "/lookup/", "idempotent", service, TIMEOUT_MILLIS, 2).service(service);
    }

    public void start() {
        for (Router router : deployment.routers) {
            senders.add(HttpPort.startThread(() -> send(router)));
        }
    }

    /** Ends the lookups; returns whether the rule on answers in time is broken. */
    public boolean end() throws InterruptedException {
        isOver = true;
        for (Thread sender : senders) {
            sender.join(2 * PATIENCE_MILLIS);
        }
        int late = 0;
        int unanswered = 0;
        int served = 0;
        long longest = 0;
        for (Lookup lookup : lookups) {
            longest = Math.max(longest, lookup.tookMillis());
            served += lookup.status() == 200 ? 1 : 0;
            late += lookup.tookMillis() > TIMEOUT_MILLIS ? 1 : 0;
            unanswered += lookup.tookMillis() > TIMEOUT_MILLIS + SLACK_MILLIS ? 1 : 0;
        }
        String result = "lookups " + lookups.size() + ", served " + served + ", unanswered at their time-out " + late
                + ", without an answer half a second later " + unanswered + ", longest " + longest + " ms";
        deployment.journal.add(result);
        System.out.println(result);
        return unanswered >= MINIMUM_UNANSWERED && unanswered * 2 > late;
    }

    private void send(Router router) {
        List<Thread> sent = new ArrayList<>();
        try {
            while (!isOver) {
                sent.add(HttpPort.startThread(() -> sendOne(router)));
                Thread.sleep(INTERVAL_MILLIS);
            }
            for (Thread thread : sent) {
                thread.join(PATIENCE_MILLIS + 1_000);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private void sendOne(Router router) {
        String attempt = "lookup-" + number.incrementAndGet();
        long sentMillis = deployment.journal.millis();
        int status = 0;
        String note = "";
        try {
            status = Client.send(
                            router.callerPort,
                            Client.head("GET", "/lookup/1", attempt, PATIENCE_MILLIS, "k-1", 0, ""),
                            PATIENCE_MILLIS)
                    .status();
        } catch (Exception exception) {
            note = " " + exception;
        }
        long took = deployment.journal.millis() - sentMillis;
        lookups.add(new Lookup(status, took));
        deployment.journal.add(
                "client: " + router.name + " " + attempt + " -> " + status + " after " + took + " ms" + note);
    }
}
