package org.redwinghook.core.relocation;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against ages that are too large, so that a router copies before the run of another one is stopped. */
public class ReportAgesTest {

    private static final long OFFSET = 5_000_000;

    @Test
    public void ageIsTheDelayBeyondTheShortest() {
        ReportAges ages = new ReportAges();
        Assert.assertEquals(ages.ageMillis("router-1", OFFSET, 80), 0);
        Assert.assertEquals(ages.ageMillis("router-1", OFFSET + 100, 130), 0);
        Assert.assertEquals(ages.ageMillis("router-1", OFFSET + 200, 290), 60);
        Assert.assertEquals(ages.ageMillis("router-2", OFFSET + 200, 290), 0);
        ages.ageMillis("router-1", OFFSET + 70_000, 70_090);
        ages.ageMillis("router-1", OFFSET + 140_000, 140_090);
        Assert.assertEquals(ages.ageMillis("router-1", OFFSET + 140_100, 140_190), 0, "drifted");
        ages.remove("router-1");
        Assert.assertEquals(ages.ageMillis("router-1", 0, 140_200), 0, "restarted");
    }
}
