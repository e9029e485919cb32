package org.redwinghook.core.forward;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/**
 * Guards against requests to endpoints that are leaving, and against the removal of live endpoints during an outage of
 * the store.
 */
public class EndpointTableTest {

    private static final long NOW = 10_000;

    @Test
    public void keepsEntryThatLapsedInAnOutageForTheGracePeriod() {
        EndpointTable table = table();
        table.remove("a", true, NOW);
        Assert.assertEquals(table.usableEndpoints("calls").size(), 1);
        Assert.assertTrue(table.expire(NOW + EndpointTable.REREGISTRATION_GRACE_MILLIS - 1)
                .isEmpty());
        Assert.assertEquals(table.expire(NOW + EndpointTable.REREGISTRATION_GRACE_MILLIS), List.of("a"));
        Assert.assertTrue(table.usableEndpoints("calls").isEmpty());
    }

    @Test
    public void keepsEntryThatIsRegisteredAgain() {
        EndpointTable table = table();
        table.remove("a", true, NOW);
        table.put(entry("a", false, 1), NOW + 500);
        Assert.assertTrue(table.expire(NOW + 10 * EndpointTable.REREGISTRATION_GRACE_MILLIS)
                .isEmpty());
        Assert.assertEquals(table.usableEndpoints("calls").size(), 1);
    }

    @Test
    public void removesEntryAtOnceWhileTheStoreIsAvailable() {
        EndpointTable table = table();
        table.remove("a", false, NOW);
        Assert.assertTrue(table.usableEndpoints("calls").isEmpty());
    }

    @Test
    public void drainingEndpointTakesNoNewRequests() {
        EndpointTable table = table();
        table.put(entry("a", true, 1), NOW);
        Assert.assertTrue(table.usableEndpoints("calls").isEmpty());
        Assert.assertTrue(table.find("a").isPresent());
    }

    /** Guards against runs that other routers wait for after they have ended, since their end is not reported at once. */
    @Test
    public void endpointIsLeavingFromItsNoticeOnUntilItIsListedAgain() {
        EndpointTable table = table();
        KnownEndpoint endpoint = table.find("a").orElseThrow();
        Assert.assertFalse(endpoint.isLeaving());
        table.put(entry("a", true, 1), NOW);
        Assert.assertTrue(endpoint.isLeaving());
        table.put(entry("a", false, 1), NOW);
        Assert.assertFalse(endpoint.isLeaving());
        table.remove("a", true, NOW);
        Assert.assertTrue(endpoint.isLeaving());
        table.put(entry("a", false, 1), NOW);
        Assert.assertFalse(endpoint.isLeaving());
    }

    @Test
    public void withdrawnDataCentreTakesNoRequestsUntilItIsRestored() {
        EndpointTable table = table();
        Assert.assertTrue(table.setWithdrawn("dc", true));
        Assert.assertTrue(table.usableEndpoints("calls").isEmpty());
        Assert.assertFalse(table.setWithdrawn("dc", true));
        Assert.assertTrue(table.setWithdrawn("dc", false));
        Assert.assertEquals(table.usableEndpoints("calls").size(), 1);
    }

    @Test
    public void restartUnderTheSameIdentifierResetsTheHealth() {
        EndpointTable table = table();
        KnownEndpoint before = table.find("a").orElseThrow();
        before.health().recordUnreachable(NOW);
        table.put(entry("a", false, 2), NOW + 1);
        Assert.assertFalse(table.find("a").orElseThrow().health().shouldAvoid(NOW + 2));
    }

    /** Guards against a run that moves from one version to another because its engine changed its version. */
    @Test
    public void otherVersionUnderTheSameIdentifierIsAnotherStart() {
        EndpointTable table = table();
        KnownEndpoint before = table.find("a").orElseThrow();
        table.put(new EndpointEntry("a", "calls", "127.0.0.1", 1, "dc", 2, false, 0, 1, "v2"), NOW + 1);
        Assert.assertEquals(before.entry().version(), "");
        Assert.assertEquals(table.find("a").orElseThrow().entry().version(), "v2");
    }

    private static EndpointTable table() {
        EndpointTable table = new EndpointTable();
        table.put(entry("a", false, 1), NOW);
        return table;
    }

    private static EndpointEntry entry(String id, boolean draining, long started) {
        return new EndpointEntry(id, "calls", "127.0.0.1", 1, "dc", 2, draining, 0, started, "");
    }
}
