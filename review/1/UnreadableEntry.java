import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** An entry that cannot be read lies in the list of servers; then a server drains. */
final class UnreadableEntry {

    private static final long DRAIN_MILLIS = 3_000;
    private static final int DEPTH = 900;
    private static final long KILLED_MILLIS = 1_000;
    private static final long RECOVER_MILLIS = 12_000;

    private UnreadableEntry() {}

    public static void main(String[] arguments) {
        Case.run(arguments, UnreadableEntry::run);
    }

    private static boolean run(Deployment deployment, Journal journal, boolean withTrouble) throws Exception {
        AtomicLong acknowledgedNanos = new AtomicLong(Long.MAX_VALUE);
        AtomicInteger late = new AtomicInteger();
        EndpointStandIn.Behaviour behaviour = (self, request, output) -> {
            long now = System.nanoTime();
            long drainedAt = acknowledgedNanos.get();
            boolean isLate =
                    self.id.equals("i-1") && drainedAt != Long.MAX_VALUE && now - drainedAt > DRAIN_MILLIS * 1_000_000;
            journal.add("server " + self.id + " runs " + request.header(Wire.REQUEST_ID)
                    + (isLate ? ", " + (now - drainedAt) / 1_000_000 + " ms after it reported draining" : ""));
            late.addAndGet(isLate ? 1 : 0);
            Thread.sleep(15);
            self.answer(request, output, "filed");
        };
        deployment.store.put(Wire.OPERATORS, "config", Configuration.of(1, Map.of("huka270", List.of(Configuration.KEY))));
        EndpointStandIn leaving = deployment.addEndpoint("i-1", "desk-app", behaviour);
        deployment.addEndpoint("i-2", "desk-app", behaviour);
        deployment.addEndpoint("i-3", "desk-app", behaviour);
        Deployment.Router first = deployment.addRouter("edge-1", "127.0.0.1");
        Deployment.Router second = deployment.addRouter("edge-2", "127.0.0.2");
        first.awaitReady();
        second.awaitReady();
        try (Calls ofFirst = new Calls(journal, first, Configuration.KEY, 2);
                Calls ofSecond = new Calls(journal, second, Configuration.KEY, 2)) {
            // Both routers are in touch: contact-ms of the sheet is 4 s.
            Thread.sleep(5_000);
            if (withTrouble) {
                String nested = "{\"a\":".repeat(DEPTH) + "1" + "}".repeat(DEPTH);
                deployment.store.put(Wire.ENDPOINTS, "i-foreign", "{\"service\":" + nested + "}");
            }
            Thread.sleep(3_000);
            leaving.drain();
            deployment.store.put(Wire.ENDPOINTS, "i-1", leaving.entry());
            acknowledgedNanos.set(System.nanoTime());
            // A new server takes the place of the one that leaves, which goes on serving for some seconds.
            deployment.addEndpoint("i-4", "desk-app", behaviour);
            Thread.sleep(8_000);
            journal.add("DRAIN: requests that reached i-1 later than " + DRAIN_MILLIS + " ms after the ack: " + late);
        }
        boolean isDrainBroken = late.get() > 0;
        journal.add("router edge-1 lists " + first.listedServers());
        journal.add("router edge-2 lists " + second.listedServers());
        return isRecoverBroken(deployment, journal) | isDrainBroken;
    }

    /** Kills all routers and judges the rule RECOVER: a quarter of the requests is served from recover-s on. */
    private static boolean isRecoverBroken(Deployment deployment, Journal journal) throws Exception {
        journal.add("final fault: all routers are killed");
        deployment.killRouters();
        Thread.sleep(KILLED_MILLIS);
        for (Deployment.Router router : deployment.routers) {
            router.start();
        }
        Thread.sleep(RECOVER_MILLIS);
        int all = 0;
        int served = 0;
        for (Deployment.Router router : deployment.routers) {
            journal.add("router " + router.name + " ready: " + router.isReady());
            try (Calls calls = new Calls(journal, router, Configuration.KEY, 2)) {
                Thread.sleep(3_000);
                for (Calls.Call call : calls.copy()) {
                    all += call.status != 0 ? 1 : 0;
                    served += call.status == 200 ? 1 : 0;
                }
            }
        }
        journal.add("RECOVER: requests sent later than " + RECOVER_MILLIS + " ms after the routers were back: " + all
                + ", served " + served);
        return served * 4 < all;
    }
}
