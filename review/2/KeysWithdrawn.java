import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** The operator takes the tenants' keys away, one version after the other; then clients send with withdrawn keys. */
final class KeysWithdrawn {

    private static final long CONFIG_APPLY_MILLIS = 3_000;
    private static final String FOREIGN_KEY = "never-held-by-any-configuration";
    private static final byte[] BODY = "notice".getBytes(StandardCharsets.ISO_8859_1);

    private KeysWithdrawn() {}

    public static void main(String[] arguments) {
        Case.run(arguments, KeysWithdrawn::run);
    }

    private static boolean run(Deployment deployment, Journal journal, boolean withTrouble) throws Exception {
        AtomicInteger foreignRuns = new AtomicInteger();
        AtomicInteger withdrawnRuns = new AtomicInteger();
        EndpointStandIn.Behaviour behaviour = (self, request, output) -> {
            String id = request.header(Wire.REQUEST_ID);
            journal.add("server " + self.id + " runs " + id + " tenant=" + request.header(Wire.CUSTOMER));
            foreignRuns.addAndGet(id.startsWith("foreign") ? 1 : 0);
            withdrawnRuns.addAndGet(id.startsWith("withdrawn") ? 1 : 0);
            Thread.sleep(15);
            self.answer(request, output, "filed");
        };
        Map<String, List<String>> keys = new LinkedHashMap<>();
        keys.put("huka270", List.of("key-of-huka270"));
        keys.put("dore118", List.of("key-of-dore118"));
        keys.put("wilo904", List.of("key-of-wilo904"));
        deployment.store.put(Wire.OPERATORS, "config", Configuration.of(1, keys));
        deployment.addEndpoint("i-1", "desk-app", behaviour);
        deployment.addEndpoint("i-2", "desk-app", behaviour);
        Deployment.Router first = deployment.addRouter("edge-1", "127.0.0.1");
        Deployment.Router second = deployment.addRouter("edge-2", "127.0.0.2");
        first.awaitReady();
        second.awaitReady();
        Thread.sleep(5_000);
        for (Deployment.Router router : deployment.routers) {
            for (String tenant : keys.keySet()) {
                send(journal, router, "held-" + tenant, "key-of-" + tenant);
            }
            send(journal, router, "early-foreign", FOREIGN_KEY);
        }
        if (withTrouble) {
            int version = 1;
            for (String tenant : List.copyOf(keys.keySet())) {
                keys.put(tenant, List.of());
                deployment.store.put(Wire.OPERATORS, "config", Configuration.of(++version, keys));
                Thread.sleep(100);
            }
        }
        Thread.sleep(CONFIG_APPLY_MILLIS + 1_000);
        for (Deployment.Router router : deployment.routers) {
            for (int number = 1; number <= 10; number++) {
                if (withTrouble) {
                    send(journal, router, "withdrawn-" + number, "key-of-huka270");
                }
                send(journal, router, "foreign-" + number, FOREIGN_KEY);
            }
        }
        journal.add("ROUTE: runs of requests whose key no configuration ever held: " + foreignRuns);
        journal.add("CONFIG: runs of requests with a key that was withdrawn more than " + CONFIG_APPLY_MILLIS
                + " ms before: " + withdrawnRuns);
        return foreignRuns.get() > 0 || withdrawnRuns.get() > 0;
    }

    private static void send(Journal journal, Deployment.Router router, String id, String key) throws Exception {
        try (Client client = new Client(router.ip, router.front, 4_000)) {
            String head = Configuration.requestHead("/filing/1", id, key, 3_000, BODY.length);
            journal.add("client sends " + id + " to " + router.name + ", answered "
                    + client.exchange(head, BODY).status);
        }
    }
}
