import common3.Client;
import common3.Config;
import common3.Deployment;
import common3.Router;
import common3.Server;
import java.nio.file.Path;

/**
 * A drill: the store is away for a moment and comes back from a copy that is some seconds old. The operator writes its
 * newest configuration again. A later change of the configuration must be in force everywhere within the bound.
 */
public final class RestoredStore {

    private static final int CONFIG_APPLY_MILLIS = 3_000;
    private static final int CONTACT_MILLIS = 4_000;
    private static final int AWAY_MILLIS = 1_000;
    private static final int REQUESTS_PER_ROUTER = 10;

    private RestoredStore() {}

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
        deployment.addServer("i-old-1", "old-service");
        deployment.addServer("i-old-2", "old-service");
        deployment.addServer("i-new-1", "new-service");
        deployment.addServer("i-new-2", "new-service");
        deployment.writeConfig(config(10, "old-service", 1_000), "version 10");
        for (String name : new String[] {"edge-a", "edge-b", "edge-c"}) {
            deployment.addRouter(name);
        }
        for (Router router : deployment.routers) {
            router.awaitReady();
        }
        Thread.sleep(2_000);
        requests(deployment, "v10", "k-dropped");

        deployment.store.takeCopy();
        // Changes that the copy lacks: three time-outs in a row, as an operator tries them.
        for (int version = 11; version <= 13; version++) {
            Thread.sleep(500);
            deployment.writeConfig(config(version, "old-service", 1_000 + version), "version " + version);
        }
        Thread.sleep(500);
        if (isTrouble) {
            deployment.pauseEntries(true);
            deployment.store.goAway();
            Thread.sleep(AWAY_MILLIS);
            deployment.store.comeBack();
            deployment.writeConfig(config(13, "old-service", 1_013), "version 13 again");
            deployment.writeAllEntries();
            deployment.pauseEntries(false);
        }
        // All machines have been in touch, and the store has been stable, for longer than the bound asks.
        Thread.sleep(CONTACT_MILLIS + 6_000);
        requests(deployment, "v13", "k-dropped");

        deployment.writeConfig(
                config(14, "new-service", 1_014), "version 14: another service, key k-dropped removed");
        Thread.sleep(CONFIG_APPLY_MILLIS + 500);
        int older = requests(deployment, "v14", "k-kept");
        int withDroppedKey = 0;
        for (Router router : deployment.routers) {
            Client.Answer answer = send(router, "v14-dropped-" + router.name, "k-dropped");
            deployment.journal.add("client: " + router.name + " dropped key -> " + answer.status());
            withDroppedKey += answer.status() == 200 ? 1 : 0;
        }
        deployment.keepLogs(Path.of("target/review-3/logs-12"));
        deployment.journal.add("later than config-apply-ms after the ack of version 14: " + older
                + " requests run by the old service, " + withDroppedKey + " run with the dropped key");
        System.out.println("requests run by the old service: " + older + ", with the dropped key: " + withDroppedKey);
        return older + withDroppedKey > 0 ? 1 : 0;
    }

    private static Config config(int version, String service, int timeoutMillis) {
        Config config = new Config(version)
                .route("filing", "/filing/", "non_idempotent", service, timeoutMillis, 1)
                .service("old-service")
                .service("new-service")
                .key("k-kept");
        return version >= 14 ? config : config.key("k-dropped");
    }

    private static Client.Answer send(Router router, String attempt, String key) throws Exception {
        return Client.send(
                router.callerPort,
                Client.head("POST", "/filing/1", attempt, 3_000, key, 2, "") + "hi",
                3_500);
    }

    /** Sends requests to all routers and returns how many of them the old service has run. */
    private static int requests(Deployment deployment, String label, String key) throws Exception {
        for (Router router : deployment.routers) {
            for (int number = 0; number < REQUESTS_PER_ROUTER; number++) {
                String attempt = label + "-" + router.name + "-" + number;
                deployment.journal.add("client: " + router.name + " <- " + attempt + " with " + key);
                Client.Answer answer = send(router, attempt, key);
                deployment.journal.add("client: " + attempt + " -> " + answer.status() + " " + answer.text());
            }
        }
        int older = 0;
        for (Server.Run run : deployment.runs) {
            older += run.attempt().startsWith(label + "-") && run.server().startsWith("i-old") ? 1 : 0;
        }
        return older;
    }
}
