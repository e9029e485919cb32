import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Configurations of a small desk: calls, lookups and drafts, with the figures of the site's sheet. */
final class Configuration {

    static final String HOST = "desk.example";
    static final String KEY = "xd9dnn2ctnfzs989anu6";
    static final int CALL_TIMEOUT_MILLIS = 1_500;
    static final int DRAFT_TIMEOUT_MILLIS = 39_000;
    static final int TRIAGE_TIMEOUT_MILLIS = 4_000;

    private Configuration() {}

    /** Writes a configuration whose tenants hold the given keys. */
    static String of(int version, Map<String, List<String>> keysByTenant) {
        String tenants = keysByTenant.entrySet().stream()
                .map(tenant -> "{\"name\":\"" + tenant.getKey() + "\",\"api-keys\":["
                        + tenant.getValue().stream().map(key -> "\"" + key + "\"").collect(Collectors.joining(","))
                        + "],\"priority\":1,\"allowed-regions\":[]}")
                .collect(Collectors.joining(","));
        return "{\"version\":" + version + ",\"tenants\":[" + tenants + "],\"routes\":["
                + route("filing", "/filing/", "non_idempotent", CALL_TIMEOUT_MILLIS, 200, "desk-app", false) + ","
                + route("draft", "/draft/", "streaming", DRAFT_TIMEOUT_MILLIS, 1_800, "drafting-models", false) + ","
                + route("triage", "/triage/", "streaming", TRIAGE_TIMEOUT_MILLIS, 1_500, "drafting-models", true)
                + "],\"services\":[" + service("desk-app", 100) + "," + service("drafting-models", 302) + "],"
                + "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
                + "\"idle-timeout-ms\":15000}}";
    }

    private static String route(
            String name, String prefix, String type, int timeout, int goal, String service, boolean isResumable) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path-prefix\":\"" + prefix
                + "\",\"route-type\":\"" + type + "\",\"timeout-ms\":" + timeout + ",\"latency-goal-ms\":" + goal
                + ",\"priority\":1,\"service\":\"" + service + "\",\"max-attempts\":" + (isResumable ? 2 : 1)
                + ",\"public\":false,\"sticky\":false,\"resumable\":" + isResumable + ",\"gap-target-ms\":180,\"allowed-regions\":[]}";
    }

    private static String service(String name, int maximumConnections) {
        return "{\"name\":\"" + name + "\",\"health-path\":\"/healthz\",\"max-conns\":" + maximumConnections
                + ",\"protocol\":\"h1\",\"tls\":false,\"cold-start-s\":0.0,\"cold-per-s\":0.0}";
    }

    /** Head of a client's request with a body. */
    static String requestHead(String path, String id, String key, int deadlineMillis, int bodyLength) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\nRedwinghook-Attempt-Id: " + id
                + "\r\nRedwinghook-Deadline-Ms: " + deadlineMillis + "\r\nAuthorization: Token " + key
                + "\r\nContent-Length: " + bodyLength + "\r\n\r\n";
    }
}
