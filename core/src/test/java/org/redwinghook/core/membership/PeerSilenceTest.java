package org.redwinghook.core.membership;

import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;

public final class PeerSilenceTest {

    private static final long INTERVAL_MILLIS = 1_000;

    /** Guards against a silent peer that is never noticed, and against silence that outlasts a message. */
    @Test
    public void silenceGrowsWithEachCheckUntilAMessage() {
        PeerSilence measured = new PeerSilence(INTERVAL_MILLIS, 0);
        assertEquals(measured.check(1_000), 1_000);
        assertEquals(measured.check(1_900), 1_900);
        measured.recordMessage();
        assertEquals(measured.check(2_900), 1_000);
    }

    /** Guards against a pause of this process, and the checks that a periodic timer makes up for, taken for silence. */
    @Test
    public void pauseOfThisProcessCountsAsOneInterval() {
        PeerSilence silence = new PeerSilence(INTERVAL_MILLIS, 0);
        assertEquals(silence.check(20_000), INTERVAL_MILLIS);
        for (int missedCheck = 0; missedCheck < 19; missedCheck++) {
            assertEquals(silence.check(20_000), INTERVAL_MILLIS);
        }
    }
}
