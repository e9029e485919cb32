package org.redwinghook.core.forward;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a stopping router that closes its port while the load balancer still sends callers to it. */
public class StopTimingTest {

    /** Time of the newest connection long before the stop. */
    private static final long LONG_AGO = -10_000;

    private static final long STOP_MILLIS = 7_500;

    private final StopTiming timing = new StopTiming(0, STOP_MILLIS);

    /** Replays the connections of a load balancer that checks readiness each second and removes a router after two misses. */
    @Test
    public void portIsOpenForAllConnectionsOfTheLoadBalancer() {
        for (long firstCheck = 0; firstCheck <= 1_000; firstCheck += 50) {
            long removedAt = firstCheck + 1_000;
            for (long connection = 0; connection <= removedAt; connection += 50) {
                Assert.assertFalse(
                        timing.mayClosePort(0, 0, LONG_AGO, connection), "connection after " + connection + " ms");
            }
        }
        Assert.assertTrue(timing.mayClosePort(0, 0, LONG_AGO, 2_500));
    }

    @Test
    public void portIsOpenWhileCallersDependOnTheRouter() {
        Assert.assertFalse(timing.mayClosePort(1, 1, LONG_AGO, 5_000));
        Assert.assertFalse(timing.mayClosePort(0, 1, LONG_AGO, 5_000));
        Assert.assertTrue(timing.mayClosePort(1, 1, LONG_AGO, STOP_MILLIS));
        Assert.assertFalse(timing.isOver(STOP_MILLIS - 1));
        Assert.assertTrue(timing.isOver(STOP_MILLIS));
    }

    /** Guards against callers that find no open port because the load balancer has too few other routers. */
    @Test
    public void portIsOpenWhileTheLoadBalancerSendsConnectionsAgain() {
        Assert.assertFalse(timing.mayClosePort(0, 0, 4_000, 4_900));
        Assert.assertTrue(timing.mayClosePort(0, 0, 4_000, 5_000));
        Assert.assertTrue(timing.mayClosePort(0, 0, 2_000, 2_500));
        Assert.assertTrue(timing.mayClosePort(0, 0, 7_400, STOP_MILLIS));
    }

    @Test
    public void idleConnectionsCloseOnceTheLoadBalancerHasNoticedTheStop() {
        Assert.assertFalse(timing.mayCloseIdleConnection(LONG_AGO, 2_400));
        Assert.assertTrue(timing.mayCloseIdleConnection(LONG_AGO, 2_500));
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
        Assert.assertFalse(shortStop.mayClosePort(0, 0, LONG_AGO, 700));
        Assert.assertTrue(shortStop.mayClosePort(0, 0, LONG_AGO, 750));
    }

    /** Guards against refusing callers whose next try reaches another stopping router. */
    @Test
    public void connectionsAfterTheNoticeShowThatNoOtherRouterIsLeft() {
        Assert.assertFalse(timing.isOpenedAfterNotice(2_400));
        Assert.assertTrue(timing.isOpenedAfterNotice(2_500));
    }
}
