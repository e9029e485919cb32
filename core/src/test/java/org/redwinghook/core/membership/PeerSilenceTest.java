package org.redwinghook.core.membership;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against connections that are closed, or kept open, for the wrong reason. */
public class PeerSilenceTest {

    private static final long INTERVAL_MILLIS = 1_000;
    private static final long TIMEOUT_MILLIS = 15_000;

    /** Guards against a dead peer that keeps its connection. */
    @Test
    public void peerWithoutMessagesIsSilentAfterTheTimeout() {
        PeerSilence dead = new PeerSilence(0, INTERVAL_MILLIS, TIMEOUT_MILLIS);
        for (long now = INTERVAL_MILLIS; now < TIMEOUT_MILLIS; now += INTERVAL_MILLIS) {
            Assert.assertFalse(dead.check(now), "silent after " + now + " ms");
        }
        Assert.assertTrue(dead.check(TIMEOUT_MILLIS));
    }

    /** Guards against the loss of all connections after a pause of this process. */
    @Test
    public void pauseOfThisProcessIsNotSilenceOfThePeer() {
        PeerSilence paused = new PeerSilence(0, INTERVAL_MILLIS, TIMEOUT_MILLIS);
        paused.recordMessage();
        Assert.assertFalse(paused.check(INTERVAL_MILLIS));
        long resumedAtMillis = INTERVAL_MILLIS + 2 * TIMEOUT_MILLIS;
        // A timer at a fixed rate catches up after a pause, before what the peer sent has been read.
        for (int missed = 0; missed < 30; missed++) {
            Assert.assertFalse(paused.check(resumedAtMillis));
        }
        paused.recordMessage();
        Assert.assertFalse(paused.check(resumedAtMillis + INTERVAL_MILLIS));
    }

    /** Guards against a peer that dies during a pause and keeps its connection. */
    @Test
    public void peerThatDiedDuringAPauseIsSilentAfterIt() {
        PeerSilence paused = new PeerSilence(0, INTERVAL_MILLIS, TIMEOUT_MILLIS);
        long now = 2 * TIMEOUT_MILLIS;
        Assert.assertFalse(paused.check(now));
        boolean isSilent = false;
        for (long deadline = now + TIMEOUT_MILLIS; now < deadline; now += INTERVAL_MILLIS) {
            isSilent = paused.check(now + INTERVAL_MILLIS);
        }
        Assert.assertTrue(isSilent);
    }
}
