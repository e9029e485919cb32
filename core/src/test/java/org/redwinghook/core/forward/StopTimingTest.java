package org.redwinghook.core.forward;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a stopping router that closes its port while the load balancer still sends callers to it. */
public class StopTimingTest {

    private static final long STOP_MILLIS = 7_500;

    private final StopTiming timing = new StopTiming(0, STOP_MILLIS);

    /** Replays the connections of a load balancer that checks readiness each second and removes a router after two misses. */
    @Test
    public void portIsOpenForAllConnectionsOfTheLoadBalancer() {
        for (long firstCheck = 0; firstCheck <= 1_000; firstCheck += 50) {
            long removedAt = firstCheck + 1_000;
            for (long connection = 0; connection <= removedAt; connection += 50) {
                Assert.assertFalse(timing.mayClosePort(0, 0, connection), "connection after " + connection + " ms");
            }
        }
        Assert.assertTrue(timing.mayClosePort(0, 0, 2_500));
    }

    @Test
    public void portIsOpenWhileCallersDependOnTheRouter() {
        Assert.assertFalse(timing.mayClosePort(1, 1, 5_000));
        Assert.assertFalse(timing.mayClosePort(0, 1, 5_000));
        Assert.assertTrue(timing.mayClosePort(1, 1, STOP_MILLIS));
        Assert.assertFalse(timing.isOver(STOP_MILLIS - 1));
        Assert.assertTrue(timing.isOver(STOP_MILLIS));
    }

    @Test
    public void idleConnectionsCloseOnceTheLoadBalancerHasNoticedTheStop() {
        Assert.assertFalse(timing.mayCloseIdleConnection(-10_000, 2_400));
        Assert.assertTrue(timing.mayCloseIdleConnection(-10_000, 2_500));
    }

    /** Guards against closing a connection whose first request is on its way. */
    @Test
    public void newConnectionsStayOpenForTheirFirstRequest() {
        Assert.assertFalse(timing.mayCloseIdleConnection(2_400, 2_500));
        Assert.assertTrue(timing.mayCloseIdleConnection(2_400, 2_900));
    }

    @Test
    public void aShortStopTimeLeavesHalfOfItForOpenConnections() {
        StopTiming shortStop = new StopTiming(0, 1_500);
        Assert.assertFalse(shortStop.mayClosePort(0, 0, 700));
        Assert.assertTrue(shortStop.mayClosePort(0, 0, 750));
    }

    /** Guards against refusing callers whose next try reaches another stopping router. */
    @Test
    public void connectionsAfterTheNoticeShowThatNoOtherRouterIsLeft() {
        Assert.assertFalse(timing.isOpenedByLastResort(2_400));
        Assert.assertTrue(timing.isOpenedByLastResort(2_500));
    }
}
