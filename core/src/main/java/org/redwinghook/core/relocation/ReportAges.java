package org.redwinghook.core.relocation;

import java.util.HashMap;
import java.util.Map;

/**
 * Ages of other routers' reports. The clocks of routers have unknown offsets; the report with the smallest difference
 * between sending and arrival shows the offset, and a report is as much older as its difference is larger. An age is never
 * overestimated: the shortest transfer counts as 0. Times are milliseconds, of a monotonic clock of each router. Confined
 * to one event loop.
 */
public final class ReportAges {

    /** Time after which a smallest difference is outdated, in milliseconds: clocks drift by a few milliseconds in it. */
    private static final long WINDOW_MILLIS = 60_000;

    /** Maximum age, in milliseconds: a larger difference is that of a router which was restarted. */
    private static final long MAXIMUM_AGE_MILLIS = 200;

    private final Map<String, Differences> differencesByRouter = new HashMap<>();

    /** Smallest differences of the current and of the previous window. */
    private record Differences(long sinceMillis, long current, long previous) {

        long smallest() {
            return Math.min(current, previous);
        }

        Differences with(long difference, long nowMillis) {
            if (nowMillis - sinceMillis >= WINDOW_MILLIS) {
                return new Differences(nowMillis, difference, current);
            }
            return new Differences(sinceMillis, Math.min(current, difference), previous);
        }
    }

    /**
     * Age of a report that has just arrived.
     *
     * @param router name of the router that sent it
     * @param sentMillis time of sending by the sender's clock
     * @param nowMillis current time
     * @return the age, at least 0; 0 for the first report of a router
     */
    public long ageMillis(String router, long sentMillis, long nowMillis) {
        differencesByRouter.values().removeIf(outdated -> nowMillis - outdated.sinceMillis() > 2 * WINDOW_MILLIS);
        long difference = nowMillis - sentMillis;
        Differences differences = differencesByRouter
                .getOrDefault(router, new Differences(nowMillis, difference, difference))
                .with(difference, nowMillis);
        differencesByRouter.put(router, differences);
        return Math.min(MAXIMUM_AGE_MILLIS, difference - differences.smallest());
    }

    /**
     * Forgets a router that may have been restarted, with another clock.
     *
     * @param router name of the router
     */
    public void remove(String router) {
        differencesByRouter.remove(router);
    }
}
