package org.redwinghook.core.origin;

import java.util.List;
import java.util.Objects;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards what the store has of the origins of streams when all routers lose power. */
public class OriginBatchesTest {

    private static StreamOrigin origin(int number) {
        return new StreamOrigin("0123456789abcdef0123456789abcdef" + number, new ServiceVersion("models", "v1"));
    }

    private final OriginBatches batches = new OriginBatches(41, 0);

    @Test
    public void writesOfAllRoutersStayWithinTheirShareOfTheStore() {
        Assert.assertEquals(OriginBatches.intervalMillis(1), 500);
        Assert.assertEquals(OriginBatches.intervalMillis(26), 500);
        Assert.assertEquals(OriginBatches.intervalMillis(300), 3_000);
    }

    /** A record that begins anew too early would replace one whose streams callers still hold. */
    @Test
    public void newestRecordGrowsUntilItIsOldOrLarge() {
        OriginBatches fresh = new OriginBatches(41, 0);
        Assert.assertNull(fresh.next());
        fresh.add(origin(1));
        Assert.assertEquals(Objects.requireNonNull(fresh.next()).origins().size(), 1);
        fresh.recordWritten(500);
        Assert.assertNull(fresh.next());
        fresh.add(origin(2));
        OriginBatch second = Objects.requireNonNull(fresh.next());
        Assert.assertEquals(second.origins().size(), 2);
        Assert.assertEquals(second.number(), 41);
        fresh.recordWritten(OriginBatches.RECORD_MILLIS);
        fresh.add(origin(3));
        OriginBatch third = Objects.requireNonNull(fresh.next());
        Assert.assertEquals(third.number(), 42);
        Assert.assertEquals(third.origins().size(), 1);
        Assert.assertTrue(OriginBatches.SLOTS * OriginBatches.RECORD_MILLIS > StreamLifetimes.MINIMUM_MILLIS);
    }

    /** Under load there are always streams that began since the last write; the record has to end all the same. */
    @Test
    public void recordEndsThoughStreamsBeginDuringItsWrite() {
        OriginBatches fresh = new OriginBatches(1, 0);
        fresh.add(origin(1));
        fresh.next();
        fresh.add(origin(2));
        fresh.recordWritten(OriginBatches.RECORD_MILLIS);
        Assert.assertEquals(fresh.next(), new OriginBatch(2, List.of(origin(2))));
    }

    /**
     * The store may execute a write without an answer seconds later, over a newer one of the same record. A new record for
     * each failure would replace those of streams that callers still hold.
     */
    @Test
    public void failedWritesTakeOneRecordAndAreRepeatedInAnother() {
        OriginBatches fresh = new OriginBatches(1, 0);
        fresh.add(origin(1));
        OriginBatch failed = Objects.requireNonNull(fresh.next());
        for (int failure = 0; failure < OriginBatches.SLOTS; failure++) {
            fresh.recordFailure();
            Assert.assertEquals(fresh.next(), failed);
        }
        fresh.recordWritten(1_000);
        Assert.assertEquals(fresh.next(), failed);
        fresh.add(origin(2));
        fresh.recordWritten(OriginBatches.RECORD_MILLIS);
        OriginBatch repeated = Objects.requireNonNull(fresh.next());
        Assert.assertEquals(repeated, new OriginBatch(2, List.of(origin(1), origin(2))));
        Assert.assertNotEquals(repeated.slot(), failed.slot());
        fresh.recordWritten(2 * OriginBatches.RECORD_MILLIS);
        Assert.assertNull(fresh.next());
    }

    /** A record that the store does not accept would block all later ones. */
    @Test
    public void recordsStayBelowTheLimitOfTheStore() {
        int dropped = 0;
        for (int number = 0; number < 20_000; number++) {
            dropped += batches.add(origin(number));
        }
        OriginBatch largest = Objects.requireNonNull(batches.next());
        Assert.assertEquals(largest.origins().size(), 20_000 - dropped);
        Assert.assertTrue(dropped > 0);
        Assert.assertTrue(largest.origins().size() * 36 < OriginBatches.MAXIMUM_RECORD_BYTES);
        Assert.assertEquals(largest.origins().get(largest.origins().size() - 1), origin(19_999));
    }

    /** Records that end early under load would cover less than the time for which callers resume streams. */
    @Test
    public void recordTakesStreamsOfItsWholeTime() {
        OriginBatches fresh = new OriginBatches(41, 0);
        for (int number = 0; number < 400 * OriginBatches.RECORD_MILLIS / 1_000; number++) {
            fresh.add(origin(number));
            fresh.next();
            fresh.recordWritten(number);
        }
        fresh.add(origin(0));
        Assert.assertEquals(Objects.requireNonNull(fresh.next()).number(), 41);
    }
}
