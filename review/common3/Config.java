package common3;

import java.util.ArrayList;
import java.util.List;

/** A configuration as the operator writes it. */
public final class Config {

    public static final String HOST = "desk.example";

    private final int version;
    private final List<String> routes = new ArrayList<>();
    private final List<String> services = new ArrayList<>();
    private final List<String> keys = new ArrayList<>();

    public Config(int version) {
        this.version = version;
    }

    public Config route(String name, String path, String type, String service, int timeoutMillis, int attempts) {
        return route(name, path, type, service, timeoutMillis, 500, attempts);
    }

    public Config route(
            String name, String path, String type, String service, int timeoutMillis, int goalMillis, int attempts) {
        routes.add(("{\"name\":\"%s\",\"host\":\"%s\",\"path-prefix\":\"%s\",\"route-type\":\"%s\",\"timeout-ms\":%d,"
                        + "\"latency-goal-ms\":%d,\"priority\":0,\"service\":\"%s\",\"max-attempts\":%d,"
                        + "\"public\":false,\"sticky\":false,\"resumable\":false,\"gap-target-ms\":180,"
                        + "\"allowed-regions\":[]}")
                .formatted(name, HOST, path, type, timeoutMillis, goalMillis, service, attempts));
        return this;
    }

    public Config service(String name) {
        services.add(("{\"name\":\"%s\",\"health-path\":\"/healthz\",\"max-conns\":100,\"protocol\":\"h1\","
                        + "\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}")
                .formatted(name));
        return this;
    }

    /** A service whose servers are cold for some time after they start. */
    public Config coldService(String name, int coldSeconds, int coldPerSecond) {
        services.add(("{\"name\":\"%s\",\"health-path\":\"/healthz\",\"max-conns\":302,\"protocol\":\"h1\","
                        + "\"tls\":false,\"cold-start-s\":%d,\"cold-per-s\":%d}")
                .formatted(name, coldSeconds, coldPerSecond));
        return this;
    }

    /** A service of engines that can move runs. */
    public Config engines(String name) {
        services.add(("{\"name\":\"%s\",\"health-path\":\"/healthz\",\"max-conns\":302,\"protocol\":\"h1\","
                        + "\"tls\":false,\"cold-start-s\":1.0,\"cold-per-s\":38.0,\"engine\":{\"slots\":32,"
                        + "\"kv-capacity\":34342,\"kv-bytes\":35136,\"link-mbps\":5100.0,\"moves\":true,"
                        + "\"backups\":true,\"stride\":4,\"most\":12,\"pin-ms\":4000.0,\"hold-ms\":2000.0,"
                        + "\"handle-ttl-s\":5.0,\"models\":[{\"name\":\"m\"}]}}")
                .formatted(name));
        return this;
    }

    public Config key(String key) {
        keys.add("\"" + key + "\"");
        return this;
    }

    public String json() {
        return "{\"version\":" + version + ",\"routes\":[" + String.join(",", routes) + "],\"services\":["
                + String.join(",", services) + "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,"
                + "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000},\"tenants\":[{\"name\":\"tenant-a\","
                + "\"api-keys\":[" + String.join(",", keys) + "],\"priority\":1,\"allowed-regions\":[]}]}";
    }
}
