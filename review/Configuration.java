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
        String customers = keysByTenant.entrySet().stream()
                .map(tenant -> Wire.fill("customer", "name", tenant.getKey(), "keys", quoted(tenant.getValue())))
                .collect(Collectors.joining(","));
        String routes = String.join(
                ",",
                route("filing", "/filing/", "non_idempotent", CALL_TIMEOUT_MILLIS, 200, "desk-app", false),
                route("draft", "/draft/", "streaming", DRAFT_TIMEOUT_MILLIS, 1_800, "drafting-models", false),
                route("triage", "/triage/", "streaming", TRIAGE_TIMEOUT_MILLIS, 1_500, "drafting-models", true));
        String services = Wire.fill("service", "name", "desk-app", "connections", 100) + ","
                + Wire.fill("service", "name", "drafting-models", "connections", 302);
        return Wire.fill(
                "configuration", "version", version, "customers", customers, "routes", routes, "services", services);
    }

    private static String quoted(List<String> texts) {
        return texts.stream().map(text -> "\"" + text + "\"").collect(Collectors.joining(","));
    }

    private static String route(
            String name, String prefix, String type, int timeout, int goal, String service, boolean isResumable) {
        return Wire.fill(
                "route", "name", name, "host", HOST, "prefix", prefix, "type", type, "timeout", timeout, "goal", goal,
                "service", service, "attempts", isResumable ? 2 : 1, "resumable", isResumable);
    }

    /** Head of a client's request with a body. */
    static String requestHead(String path, String id, String key, int deadlineMillis, int bodyLength) {
        return "POST " + path + " HTTP/1.1\r\nHost: " + HOST + "\r\n" + Wire.REQUEST_ID + ": " + id + "\r\n"
                + Wire.DEADLINE + ": " + deadlineMillis + "\r\nAuthorization: Token " + key + "\r\nContent-Length: "
                + bodyLength + "\r\n\r\n";
    }
}
