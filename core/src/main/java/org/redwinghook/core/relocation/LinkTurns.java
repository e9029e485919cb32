package org.redwinghook.core.relocation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.forward.EngineMemory;
import org.redwinghook.core.message.CopyReport;
import org.redwinghook.core.placement.WorkTotals;

/**
 * Turns of a router at the link of one engine that leaves: what the routers reported of their copies, and whether this
 * router may begin one. Until a router reports its copies, its work at the engine stands for them. Times are milliseconds
 * of a monotonic clock. Confined to one event loop.
 */
public final class LinkTurns {

    /**
     * Time from sending until every router has received a report, in milliseconds: the maximum age of reports and the time
     * between two copies.
     */
    public static final long REPORT_AGE_MILLIS = 100 + DeparturePlan.HANDOVER_MILLIS;

    private final String self;
    private final EngineMemory memory;
    private final long noticedMillis;
    private final long endMillis;
    private final boolean isEndKnown;
    private final Map<String, Use> useByRouter = new HashMap<>();

    private record Use(CopyReport report, long freeMillis) {}

    /**
     * Creates the turns of a router.
     *
     * @param self name of the router
     * @param memory memory and link of the engine
     * @param noticedMillis time at which the router learned that the engine leaves
     * @param endMillis time at which the engine ends
     * @param isEndKnown whether the engine reported its end
     */
    public LinkTurns(String self, EngineMemory memory, long noticedMillis, long endMillis, boolean isEndKnown) {
        this.self = self;
        this.memory = memory;
        this.noticedMillis = noticedMillis;
        this.endMillis = endMillis;
        this.isEndKnown = isEndKnown;
    }

    /**
     * Records a report of this or another router. Reports that are older than the latest one are ignored.
     *
     * @param report the report
     * @param nowMillis current time
     */
    public void record(CopyReport report, long nowMillis) {
        Use before = useByRouter.get(report.router());
        if (before == null || before.report().number() < report.number()) {
            useByRouter.put(report.router(), new Use(report, nowMillis + report.busyMillis()));
        }
    }

    /**
     * Whether this router may begin a copy, while it makes none.
     *
     * @param own its pending copies
     * @param reportedMillis time since which this router has reported that it has any
     * @param workOfOthers work of the other routers at the engine
     * @param nowMillis current time
     * @return true in its slot, or if no other router wants the link; a reported end may be too early
     */
    public boolean mayStart(
            PendingCopies own, long reportedMillis, Map<String, WorkTotals> workOfOthers, long nowMillis) {
        boolean isExpected = reportedMillis + REPORT_AGE_MILLIS <= linkFreeMillis();
        if (!isExpected && nowMillis < linkFreeMillis() + REPORT_AGE_MILLIS && !workOfOthers.isEmpty()) {
            // Another router may have begun a copy before it learned of this router's.
            return false;
        }
        if (nowMillis >= linkFreeMillis() && !isWantedByOthers(workOfOthers, nowMillis)) {
            return true;
        }
        List<PendingCopies> pending = pendingOfOthers(workOfOthers);
        pending.add(own);
        DepartureTimes times = new DepartureTimes(nowMillis, linkFreeMillis(), endMillis, isEndKnown);
        return DeparturePlan.of(pending, memory, times).startMillis(self) <= nowMillis;
    }

    /**
     * Whether other routers use the link or have copies for it.
     *
     * @param workOfOthers work of the other routers at the engine
     * @param nowMillis current time
     * @return false if the link is this router's
     */
    public boolean isWantedByOthers(Map<String, WorkTotals> workOfOthers, long nowMillis) {
        for (Use use : useByRouter.values()) {
            if (!use.report().router().equals(self) && use.freeMillis() > nowMillis) {
                return true;
            }
        }
        return pendingOfOthers(workOfOthers).stream().anyMatch(copies -> copies.runs() > 0);
    }

    /**
     * Time until the engine ends.
     *
     * @param nowMillis current time
     * @return the time in milliseconds, 0 after the expected end
     */
    public long remainingMillis(long nowMillis) {
        return Math.max(0, endMillis - nowMillis);
    }

    private long linkFreeMillis() {
        long freeMillis = noticedMillis;
        for (Use use : useByRouter.values()) {
            freeMillis = Math.max(freeMillis, use.freeMillis());
        }
        return freeMillis;
    }

    private List<PendingCopies> pendingOfOthers(Map<String, WorkTotals> workOfOthers) {
        List<PendingCopies> pending = new ArrayList<>();
        workOfOthers.forEach((router, work) -> {
            Use use = useByRouter.get(router);
            // A router without work has moved or lost its runs, whatever it reported before.
            pending.add(
                    use == null || work.running() == 0
                            ? PendingCopies.of(router, work)
                            : new PendingCopies(
                                    router,
                                    use.report().pendingRuns(),
                                    use.report().pendingTokens()));
        });
        return pending;
    }
}
