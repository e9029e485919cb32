package org.redwinghook.core.rollout;

import java.util.ArrayList;
import java.util.List;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against bad versions that receive too many requests or complete, and good ones that do not complete. */
public class RolloutDecisionTest {

    private static final SimulatedRollout.Version GOOD =
            (random, millis, route, loaded) -> random.nextInt(500) == 0 ? -1 : 1;
    private static final SimulatedRollout.Version BAD_AT_ONCE =
            (random, millis, route, loaded) -> random.nextInt(4) == 0 ? -1 : 1;
    private static final SimulatedRollout.Version TENTH_FAILS =
            (random, millis, route, loaded) -> random.nextInt(10) == 0 ? -1 : 1;
    private static final SimulatedRollout.Version SLOW_LATE = (random, millis, route, loaded) -> millis > 5_000 ? 4 : 1;
    private static final SimulatedRollout.Version BAD_LATE =
            (random, millis, route, loaded) -> millis > 6_000 && random.nextInt(2) == 0 ? -1 : 1;
    private static final SimulatedRollout.Version BAD_UNDER_LOAD =
            (random, millis, route, loaded) -> loaded && random.nextInt(2) == 0 ? -1 : 1;
    private static final SimulatedRollout.Version BAD_ON_ONE_ROUTE =
            (random, millis, route, loaded) -> route.equals("long") && random.nextInt(2) == 0 ? -1 : 1;
    private static final SimulatedRollout.Version SLOW = (random, millis, route, loaded) -> 4;

    /** Replays of each roll-out with other times of requests. */
    private static final int SEEDS = 5;

    /** Sites: routers, requests a second, duration, delay and loss of messages. */
    private static final List<SimulatedRollout.Site> SITES = List.of(
            new SimulatedRollout.Site(3, 30, 12_000, 50, 0),
            new SimulatedRollout.Site(3, 100, 12_000, 50, 0.2),
            new SimulatedRollout.Site(24, 60, 12_000, 50, 0),
            new SimulatedRollout.Site(24, 300, 30_000, 150, 0.2),
            new SimulatedRollout.Site(3, 8, 60_000, 50, 0.2),
            new SimulatedRollout.Site(24, 40, 60_000, 300, 0.3));

    @DataProvider
    public Object[][] rollouts() {
        List<Object[]> rows = new ArrayList<>();
        for (SimulatedRollout.Site site : SITES) {
            rows.add(new Object[] {"good", site, GOOD, 6, RolloutState.COMPLETE});
            rows.add(new Object[] {"bad at once", site, BAD_AT_ONCE, 6, RolloutState.REVERTED});
            rows.add(new Object[] {"bad late", site, BAD_LATE, 6, RolloutState.REVERTED});
            rows.add(new Object[] {"bad on one route", site, BAD_ON_ONE_ROUTE, 6, RolloutState.REVERTED});
            rows.add(new Object[] {"slow", site, SLOW, 6, RolloutState.REVERTED});
            rows.add(new Object[] {"without endpoints", site, GOOD, 0, RolloutState.REVERTED});
            if (site.requestsPerSecond() >= 60) {
                rows.add(new Object[] {"a tenth fails", site, TENTH_FAILS, 6, RolloutState.REVERTED});
                rows.add(new Object[] {"slow late", site, SLOW_LATE, 6, RolloutState.REVERTED});
                rows.add(new Object[] {"bad under load", site, BAD_UNDER_LOAD, 6, RolloutState.REVERTED});
            }
        }
        SimulatedRollout.Site fewRequests = new SimulatedRollout.Site(24, 5, 12_000, 50, 0.1);
        rows.add(new Object[] {"good", fewRequests, GOOD, 6, RolloutState.COMPLETE});
        rows.add(new Object[] {"slow", fewRequests, SLOW, 6, RolloutState.REVERTED});
        rows.add(new Object[] {
            "good with little traffic", new SimulatedRollout.Site(3, 1, 12_000, 50, 0), GOOD, 6, RolloutState.COMPLETE
        });
        return rows.toArray(new Object[0][]);
    }

    @Test(dataProvider = "rollouts")
    public void verdictIsRightAndExposureLimited(
            String name,
            SimulatedRollout.Site site,
            SimulatedRollout.Version version,
            int newEndpoints,
            RolloutState expected) {
        List<String> wrong = new ArrayList<>();
        for (long seed = 1; seed <= SEEDS; seed++) {
            SimulatedRollout rollout = new SimulatedRollout(site, version, newEndpoints, seed);
            rollout.run();
            RolloutLimits limits = RolloutLimits.DEFAULT;
            boolean isLimited = rollout.exposed <= limits.exposureShare() * rollout.requests + limits.exposureSlack()
                    && rollout.lastExposedMillis <= rollout.fiftiethBadMillis + limits.rollbackMillis();
            boolean isRight = rollout.written == expected
                    && rollout.cutAtComplete == 0
                    && (expected == RolloutState.COMPLETE || isLimited);
            if (!isRight) {
                wrong.add("seed=" + seed + " " + rollout);
            }
        }
        Assert.assertTrue(wrong.isEmpty(), name + " " + site + " " + wrong);
    }
}
