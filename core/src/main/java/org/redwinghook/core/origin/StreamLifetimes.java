package org.redwinghook.core.origin;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;

import org.redwinghook.core.forward.RequestKind;
import org.redwinghook.core.forward.Route;
import org.redwinghook.core.forward.WeightedService;

/** Longest time from the first event of a stream until a caller resumes it, by service. */
public final class StreamLifetimes {

    /** Shortest lifetime that is assumed, in milliseconds. */
    public static final long MINIMUM_MILLIS = 60_000;

    /** A caller may resume a stream at the end of its timeout, and the resumed stream may last as long again. */
    private static final int TIMEOUTS = 2;

    private final Map<String, Long> millisByService = new HashMap<>();

    /**
     * Derives the lifetimes from routes.
     *
     * @param routes all routes
     */
    public StreamLifetimes(Collection<Route> routes) {
        for (Route route : routes) {
            if (!isResumable(route)) {
                continue;
            }
            long millis = Math.max(MINIMUM_MILLIS, TIMEOUTS * route.timeoutMillis());
            for (WeightedService service : route.services()) {
                millisByService.merge(service.service(), millis, Math::max);
            }
        }
    }

    /**
     * Whether callers may resume the streams of a route.
     *
     * @param route the route
     * @return false for calls, and for streams that run once only
     */
    public static boolean isResumable(Route route) {
        return route.kind() == RequestKind.STREAMING && route.resumable();
    }

    /**
     * Services whose streams may be resumed.
     *
     * @return their names
     */
    public Set<String> services() {
        return Set.copyOf(millisByService.keySet());
    }

    /**
     * Longest lifetime of a service's streams.
     *
     * @param service name of the service
     * @return the time in milliseconds
     */
    public long millis(String service) {
        return millisByService.getOrDefault(service, MINIMUM_MILLIS);
    }

    /**
     * Longest lifetime of the streams of all services.
     *
     * @return the time in milliseconds
     */
    public long longestMillis() {
        long longest = MINIMUM_MILLIS;
        for (long millis : millisByService.values()) {
            longest = Math.max(longest, millis);
        }
        return longest;
    }
}
