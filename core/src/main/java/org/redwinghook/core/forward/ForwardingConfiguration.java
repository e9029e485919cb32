package org.redwinghook.core.forward;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** One version of the routes, API keys and services by which a router forwards requests. */
public final class ForwardingConfiguration {

    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final boolean needsKeys;
    private final Map<String, CustomerAccess> accessByKey;
    private final Map<String, ServiceSettings> services;
    private final CallerLimits limits;

    /**
     * Creates a configuration.
     *
     * @param version its version
     * @param routes all routes
     * @param needsKeys whether requests need a key, which holds for any configuration with a list of customers, also if the
     *     list is empty or cannot be read, or no customer has a key left
     * @param accessByKey access that each API key grants
     * @param services services by name
     * @param limits limits on callers
     */
    public ForwardingConfiguration(
            long version,
            List<Route> routes,
            boolean needsKeys,
            Map<String, CustomerAccess> accessByKey,
            Map<String, ServiceSettings> services,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = new HashMap<>(routes.stream().collect(Collectors.groupingBy(Route::host)));
        routesByHost.replaceAll((host, list) -> list.stream()
                .sorted(Comparator.comparingInt(
                                (Route route) -> route.pathPrefix().length())
                        .reversed())
                .toList());
        this.needsKeys = needsKeys;
        this.accessByKey = Map.copyOf(accessByKey);
        this.services = Map.copyOf(services);
        this.limits = limits;
    }

    /**
     * All routes.
     *
     * @return the routes, in no particular order
     */
    public List<Route> routes() {
        return routesByHost.values().stream().flatMap(List::stream).toList();
    }

    /**
     * Version of the configuration.
     *
     * @return the version
     */
    public long version() {
        return version;
    }

    /**
     * Finds the route of a host with the longest prefix that a path begins with.
     *
     * @param host host of the request
     * @param path path of the request
     * @return the route, empty if there is none
     */
    public Optional<Route> findRoute(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /**
     * Whether requests of routes that are not anonymous need a key.
     *
     * @return true if the configuration contains a list of customers
     */
    public boolean needsKeys() {
        return needsKeys;
    }

    /**
     * Finds the access that an API key grants.
     *
     * @param key the key
     * @return the access, empty if the key is unknown
     */
    public Optional<CustomerAccess> findAccess(String key) {
        return Optional.ofNullable(accessByKey.get(key));
    }

    /**
     * Finds the settings of a service.
     *
     * @param name name of the service
     * @return the settings, empty if the configuration does not name the service
     */
    public Optional<ServiceSettings> findService(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Limits on the requests and connections of callers.
     *
     * @return the limits
     */
    public CallerLimits limits() {
        return limits;
    }
}
