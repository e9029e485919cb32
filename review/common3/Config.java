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
        routes.add(Names.message(
                "route",
                "name",
                name,
                "host",
                HOST,
                "path",
                path,
                "type",
                type,
                "timeout",
                timeoutMillis,
                "goal",
                goalMillis,
                "service",
                service,
                "attempts",
                attempts));
        return this;
    }

    public Config service(String name) {
        return coldService(name, 0, 0);
    }

    /** A service whose servers are cold for some time after they start. */
    public Config coldService(String name, int coldSeconds, int coldPerSecond) {
        services.add(Names.message("service", "name", name, "seconds", coldSeconds, "rate", coldPerSecond));
        return this;
    }

    /** A service of engines that can move runs. */
    public Config engines(String name) {
        services.add(Names.message("engines", "name", name));
        return this;
    }

    public Config key(String key) {
        keys.add("\"" + key + "\"");
        return this;
    }

    public String json() {
        return Names.message(
                "configuration",
                "version",
                version,
                "routes",
                String.join(",", routes),
                "services",
                String.join(",", services),
                "keys",
                String.join(",", keys));
    }
}
