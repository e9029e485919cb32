package org.redwinghook.router.forward;

import java.util.HashMap;
import java.util.Map;

import org.redwinghook.core.message.WorkReport;

/**
 * Whether this router has heard of the store of late, so that a version it does not list may have left. What it has not heard
 * of for that time may still be missing: {@link ListConfirmation} rules that out. Confined to one event loop.
 */
final class ListFreshness {

    /**
     * Longest time since a sign of the store until the list counts as outdated, in milliseconds; readers of the store have one
     * each 1.2 s, and the first of them reports to the other routers each second.
     */
    private static final long MAXIMUM_AGE_MILLIS = 2_500;

    private final MonotonicClock clock;
    private final RouterExchange exchange;
    private final RecordFollower endpoints;
    private final RecordFollower routers;
    private final Map<String, Long> heardAtMillis = new HashMap<>();

    /**
     * Creates the decision.
     *
     * @param clock monotonic clock
     * @param exchange connections to the other routers
     * @param endpoints reads the endpoints from the store
     * @param routers reads the routers and the records of versions from the store
     */
    ListFreshness(MonotonicClock clock, RouterExchange exchange, RecordFollower endpoints, RecordFollower routers) {
        this.clock = clock;
        this.exchange = exchange;
        this.endpoints = endpoints;
        this.routers = routers;
        exchange.register(WorkReport.class, (peer, report) -> {
            if (report.readsStore()) {
                heardAtMillis.put(report.router(), clock.millis());
            }
        });
    }

    /**
     * Whether no listed endpoint and no version with a record can be missing.
     *
     * @return false until this router has read the store, and while nothing shows that its list is up to date
     */
    boolean isCurrent() {
        if (!endpoints.hasRead() || !routers.hasRead()) {
            return false;
        }
        long oldestMillis = clock.millis() - MAXIMUM_AGE_MILLIS;
        return endpoints.lastSuccessAtMillis() >= oldestMillis || firstReaderHeardAtMillis() >= oldestMillis;
    }

    /** Time of the last report of the connected router that reads the store for the others. */
    private long firstReaderHeardAtMillis() {
        heardAtMillis.keySet().retainAll(exchange.connectedRouters());
        return heardAtMillis.keySet().stream()
                .min(String::compareTo)
                .map(heardAtMillis::get)
                .orElse(Long.MIN_VALUE);
    }
}
