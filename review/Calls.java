import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Clients that send calls to one router, each on a channel that it keeps, one call after the other. They wait for each
 * answer as long as their time budget says, and then go on with a new channel.
 */
final class Calls implements AutoCloseable {

    static final int DEADLINE_MILLIS = 3_000;

    private static final long PAUSE_MILLIS = 100;
    private static final byte[] BODY = "notice".getBytes(StandardCharsets.ISO_8859_1);

    final List<Call> calls = new ArrayList<>();
    private final Journal journal;
    private final Deployment.Router router;
    private final String key;
    private final List<Thread> threads = new ArrayList<>();
    private volatile boolean isStopped;

    /** One call: when it was sent and how it ended. */
    static final class Call {
        final String id;
        final long sentNanos = System.nanoTime();
        /** Status of the answer, 0 while there is none, -1 if the client left or the channel ended without one. */
        volatile int status;

        volatile long endedNanos;

        private Call(String id) {
            this.id = id;
        }

        long millisUntilEnd(long nowNanos) {
            return ((status == 0 ? nowNanos : endedNanos) - sentNanos) / 1_000_000;
        }
    }

    Calls(Journal journal, Deployment.Router router, String key, int clients) {
        this.journal = journal;
        this.router = router;
        this.key = key;
        for (int number = 1; number <= clients; number++) {
            String name = router.name + "-client-" + number;
            Thread thread = new Thread(() -> run(name), name);
            thread.setDaemon(true);
            threads.add(thread);
            thread.start();
        }
    }

    private void run(String name) {
        int number = 0;
        while (!isStopped) {
            try (Client client = new Client(router.ip, router.front, DEADLINE_MILLIS)) {
                while (!isStopped) {
                    send(client, name + "-" + ++number);
                    Thread.sleep(PAUSE_MILLIS);
                }
            } catch (IOException exception) {
                pause();
            } catch (InterruptedException exception) {
                return;
            }
        }
    }

    private void send(Client client, String id) throws IOException {
        Call call = new Call(id);
        synchronized (calls) {
            calls.add(call);
        }
        try {
            String head = Configuration.requestHead("/filing/1", id, key, DEADLINE_MILLIS, BODY.length);
            call.status = endCall(call, client.exchange(head, BODY).status);
        } catch (IOException exception) {
            call.status = endCall(call, -1);
            throw exception;
        }
    }

    private int endCall(Call call, int status) {
        call.endedNanos = System.nanoTime();
        if (!isStopped) {
            journal.add("call " + call.id + " sent "
                    + (call.endedNanos - call.sentNanos) / 1_000_000 + " ms ago, answered "
                    + (status < 0 ? "by nothing" : status));
        }
        return status;
    }

    private static void pause() {
        try {
            Thread.sleep(PAUSE_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    List<Call> copy() {
        synchronized (calls) {
            return List.copyOf(calls);
        }
    }

    /**
     * Judges the rule CONFIG: of the requests that are still unanswered at their route's timeout, more than half have no
     * answer half a second later.
     *
     * @return whether the rule was broken
     */
    boolean isTimeoutRuleBroken(int timeoutMillis) {
        long now = System.nanoTime();
        int late = 0;
        int tooLate = 0;
        long longest = 0;
        for (Call call : copy()) {
            long millis = call.millisUntilEnd(now);
            longest = Math.max(longest, millis);
            late += millis >= timeoutMillis ? 1 : 0;
            tooLate += millis >= timeoutMillis + 500 ? 1 : 0;
        }
        journal.add("CONFIG: calls " + copy().size() + ", unanswered at the route's timeout of " + timeoutMillis + " ms "
                + late + ", still unanswered half a second later " + tooLate + ", longest wait " + longest + " ms");
        return tooLate * 2 > late;
    }

    @Override
    public void close() {
        isStopped = true;
        threads.forEach(Thread::interrupt);
    }
}
