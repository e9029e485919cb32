package org.redwinghook.core.forward;

import java.util.List;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against requests to endpoints that leave, and against losing live endpoints in an outage of the store. */
public class EndpointTableTest {

    private static final long NOW = 10_000;

    @Test
    public void entryThatLapsedInAnOutageStaysUsableUntilItCouldBeBack() {
        EndpointTable table = table();
        table.remove("a", true, NOW);
        Assert.assertEquals(table.usable("calls").size(), 1);
        Assert.assertTrue(table.expire(NOW + EndpointTable.REGISTER_MILLIS - 1).isEmpty());
        Assert.assertEquals(table.expire(NOW + EndpointTable.REGISTER_MILLIS), List.of("a"));
        Assert.assertTrue(table.usable("calls").isEmpty());
    }

    @Test
    public void entryThatComesBackIsNotRemoved() {
        EndpointTable table = table();
        table.remove("a", true, NOW);
        table.put(entry("a", false, 1), NOW + 500);
        Assert.assertTrue(table.expire(NOW + 10 * EndpointTable.REGISTER_MILLIS).isEmpty());
        Assert.assertEquals(table.usable("calls").size(), 1);
    }

    @Test
    public void removalWhileTheStoreServesCountsAtOnce() {
        EndpointTable table = table();
        table.remove("a", false, NOW);
        Assert.assertTrue(table.usable("calls").isEmpty());
    }

    @Test
    public void drainingEndpointTakesNoNewRequests() {
        EndpointTable table = table();
        table.put(entry("a", true, 1), NOW);
        Assert.assertTrue(table.usable("calls").isEmpty());
        Assert.assertTrue(table.find("a").isPresent());
    }

    @Test
    public void withdrawnDataCentreTakesNoRequestsUntilItIsBack() {
        EndpointTable table = table();
        Assert.assertTrue(table.withdraw("dc", true));
        Assert.assertTrue(table.usable("calls").isEmpty());
        Assert.assertFalse(table.withdraw("dc", true));
        Assert.assertTrue(table.withdraw("dc", false));
        Assert.assertEquals(table.usable("calls").size(), 1);
    }

    @Test
    public void restartUnderTheSameIdentifierForgetsWhatWasLearned() {
        EndpointTable table = table();
        KnownEndpoint before = table.find("a").orElseThrow();
        before.health().unreachable(NOW);
        table.put(entry("a", false, 2), NOW + 1);
        Assert.assertFalse(table.find("a").orElseThrow().health().avoid(NOW + 2));
    }

    private static EndpointTable table() {
        EndpointTable table = new EndpointTable();
        table.put(entry("a", false, 1), NOW);
        return table;
    }

    private static EndpointEntry entry(String id, boolean draining, long started) {
        return new EndpointEntry(id, "calls", "127.0.0.1", 1, "dc", 2, draining, 0, started);
    }
}
