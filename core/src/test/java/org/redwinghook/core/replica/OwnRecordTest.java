package org.redwinghook.core.replica;

import java.util.Random;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against routers that stay unlisted, or listed after their stop, since the store came back from a copy. */
public class OwnRecordTest {

    private static final byte[] REMOVED = {};
    private static final byte[] OWN = {1, 2};
    private static final byte[] BEFORE_RESTART = {1, 1};

    // Newest value of the process, the value in the log, and whether it is written again.
    @DataProvider
    public Object[][] records() {
        return new Object[][] {
            {null, null, false},
            {null, BEFORE_RESTART, false},
            {OWN, null, true},
            {OWN, OWN, false},
            {OWN, BEFORE_RESTART, true},
            {REMOVED, OWN, true},
            {REMOVED, null, false},
        };
    }

    @Test(dataProvider = "records")
    public void onlyLostRecordsAreWrittenAgain(byte[] own, byte[] logged, boolean expected) {
        OwnRecord record = new OwnRecord();
        if (own != null) {
            record.set(own);
        }
        Assert.assertEquals(record.isLost(new VersionedRecord("router-1", 3, logged)), expected);
        if (logged == null) {
            Assert.assertEquals(record.isLost(null), expected);
        }
    }

    /** Guards against refused writes, and records that are dropped before they are written again. */
    @Test
    public void writesOfManyRoutersAreSpread() {
        Random random = new Random(1);
        int[] writes = new int[20];
        for (int router = 0; router < 360; router++) {
            writes[(int) new OwnRecord().checkDelayMillis(random.nextDouble()) / 100]++;
        }
        for (int tenth = 0; tenth < writes.length; tenth++) {
            Assert.assertTrue(writes[tenth] <= (tenth < 10 ? 60 : 0), writes[tenth] + " writes in tenth " + tenth);
        }
    }
}
