package org.redwinghook.core.replica;

import java.util.function.Consumer;

import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against reliance on records that are seconds old, and against billed reports long after a fault. */
public class StoreTrustTest {

    private static final long WAIT_MILLIS = 1_000;

    // Reads from time 0 on, and the time until which they are not trusted, alone and beside another reader.
    @DataProvider
    public Object[][] reads() {
        return new Object[][] {
            {"usual", read(trust -> trust.recordSuccess(1_005)), 0L, 0L},
            {"slow", read(trust -> trust.recordSuccess(1_700)), 5_700L, 5_700L},
            {"expired", read(trust -> trust.recordExpiry(20)), 4_020L, 4_020L},
            {
                "recovered",
                read(trust -> {
                    trust.recordFailure(20);
                    trust.recordSuccess(300);
                }),
                4_020L,
                4_020L
            },
            {"failing", read(trust -> trust.recordFailure(20)), Long.MAX_VALUE, 4_020L},
            {"silent", read(trust -> {}), Long.MAX_VALUE, Long.MAX_VALUE},
        };
    }

    private static Consumer<StoreTrust> read(Consumer<StoreTrust> end) {
        return trust -> {
            trust.recordReadStart(WAIT_MILLIS, 0);
            end.accept(trust);
        };
    }

    @Test(dataProvider = "reads")
    public void trustReturnsSomeSecondsAfterTheLastFault(
            String name, Consumer<StoreTrust> reads, long distrustedUntil, long distrustedUntilBesideAReader) {
        StoreTrust trust = new StoreTrust();
        reads.accept(trust);
        for (long now = 1_800; now < 8_000; now += 100) {
            Assert.assertEquals(trust.isTrusted(false, now), now >= distrustedUntil, name + " at " + now);
            Assert.assertEquals(trust.isTrusted(true, now), now >= distrustedUntilBesideAReader, name + " at " + now);
        }
        Assert.assertEquals(trust.faults(1_800), name.equals("usual") ? 0 : 1);
    }
}
