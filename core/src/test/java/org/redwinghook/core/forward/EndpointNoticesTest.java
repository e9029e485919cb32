package org.redwinghook.core.forward;

import java.util.Set;

import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against requests to endpoints that have announced that they leave or want no requests for some time. */
public class EndpointNoticesTest {

    private static final RequestScope SCOPE = new RequestScope("id", "calls", "route", null, Set.of(), null);
    private static final long PAUSE_MILLIS = 3_500;

    private EndpointTable endpoints = new EndpointTable();
    private EndpointNotices notices = new EndpointNotices(endpoints);
    private EndpointEligibility eligibility = new EndpointEligibility(endpoints);

    @BeforeMethod
    public void create() {
        endpoints = new EndpointTable();
        notices = new EndpointNotices(endpoints);
        eligibility = new EndpointEligibility(endpoints);
        eligibility.addRule(notices);
    }

    private EndpointEntry list(String id, long startedAtMillis) {
        EndpointEntry entry = new EndpointEntry(id, "calls", "host", 1, "dc-1", 4, false, 0, startedAtMillis, "");
        endpoints.put(entry, 0);
        return entry;
    }

    private Exclusion exclusion(String id, long nowMillis) {
        return eligibility.exclusion(endpoints.find(id).orElseThrow(), SCOPE, nowMillis);
    }

    /** Guards against a list of endpoints that is older than the announcement and revokes it, and against a confusion of starts. */
    @Test
    public void leavingHoldsForOneStartWhateverTheListSays() {
        EndpointEntry entry = list("a", 1);
        Assert.assertNull(exclusion("a", 0));
        Assert.assertTrue(notices.recordLeaving(entry));
        Assert.assertFalse(notices.recordLeaving(entry));
        endpoints.remove("a", false, 0);
        list("a", 1);
        Assert.assertEquals(exclusion("a", 0), Exclusion.LEAVING);
        Assert.assertFalse(notices.maySendAssigned(entry, 0));
        list("a", 2);
        Assert.assertNull(exclusion("a", 0));
    }

    /** Guards against an endpoint that is sent all waiting requests at the end of its pause, or none for ever. */
    @Test
    public void requestsReturnByDegreesAfterAPause() {
        EndpointEntry entry = list("b", 1);
        notices.recordPause(entry, PAUSE_MILLIS, 0);
        Assert.assertEquals(exclusion("b", PAUSE_MILLIS - 1), Exclusion.PAUSED);
        Assert.assertEquals(notices.millisUntilReturn("calls", null, 500).orElseThrow(), PAUSE_MILLIS - 500);
        int sent = 0;
        for (long now = PAUSE_MILLIS; now < PAUSE_MILLIS + 900; now++) {
            if (exclusion("b", now) == null) {
                notices.recordStart(entry);
                sent++;
            }
        }
        Assert.assertEquals(sent, 1, "without a result");
        Assert.assertNull(exclusion("b", PAUSE_MILLIS + 1_000));
        for (int success = 0; success < 5; success++) {
            notices.recordSuccess(entry, PAUSE_MILLIS + 1_000);
        }
        Assert.assertNull(exclusion("b", PAUSE_MILLIS + 1_000));
        Assert.assertTrue(
                notices.millisUntilReturn("calls", null, PAUSE_MILLIS + 1_000).isEmpty());
    }

    /** Guards against callers that come back to continue a stream before an endpoint of its version does. */
    @Test
    public void pauseOfAnotherVersionIsNotWaitedFor() {
        EndpointEntry entry = list("d", 1);
        notices.recordPause(entry, PAUSE_MILLIS, 0);
        Assert.assertEquals(notices.millisUntilReturn("calls", "", 0).orElseThrow(), PAUSE_MILLIS);
        Assert.assertTrue(notices.millisUntilReturn("calls", "v2", 0).isEmpty());
    }

    /** Guards against a short pause that ends a longer one, and against an overflow of a huge one. */
    @Test
    public void longestPauseHolds() {
        EndpointEntry entry = list("c", 1);
        notices.recordPause(entry, Long.MAX_VALUE, 10);
        notices.recordPause(entry, 1, 10);
        Assert.assertEquals(exclusion("c", Long.MAX_VALUE - 1), Exclusion.PAUSED);
    }

    /** Guards against notices of endpoints that were removed filling the memory. */
    @Test
    public void noticesOfRemovedEndpointsAreBounded() {
        EndpointEntry listed = list("listed", 1);
        notices.recordLeaving(listed);
        for (int number = 0; number < 10_000; number++) {
            notices.recordLeaving(list("e-" + number, 1));
            endpoints.remove("e-" + number, false, 0);
        }
        Assert.assertTrue(notices.size() <= 1_002, "notices: " + notices.size());
        Assert.assertEquals(exclusion("listed", 0), Exclusion.LEAVING);
    }
}
