package org.redwinghook.core.receive;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against messages without end that together fill the heap, and against giving up small ones for them. */
public class ReceiveBudgetTest {

    private static final int MEBIBYTE = 1024 * 1024;

    private final ReceiveBudget budget = new ReceiveBudget(8 * MEBIBYTE);
    private final List<String> evicted = new ArrayList<>();

    /** Guards against messages that stop short of their end and outlive others that arrive. */
    @Test
    public void requestWithoutProgressIsEvictedBeforeALargerOne() {
        List<String> evictedNames = new ArrayList<>();
        AtomicLong nowMillis = new AtomicLong();
        ReceiveBudget timed = new ReceiveBudget(MEBIBYTE, nowMillis::get);
        timed.open(() -> evictedNames.add("stopped")).add(MEBIBYTE / 4);
        ReceiveBudget.Share small = timed.open(() -> evictedNames.add("waits for its answer"));
        small.add(1_000);
        nowMillis.addAndGet(60_000);
        Assert.assertFalse(timed.isShort());
        timed.open(() -> evictedNames.add("arrives")).add(MEBIBYTE * 3 / 4);
        Assert.assertEquals(evictedNames, List.of("stopped"));
        Assert.assertTrue(timed.isShort());
    }

    /** Guards against large messages that arrive together and are given up later than they take memory. */
    @Test
    public void largeMessagesWaitUntilThereIsRoom() {
        List<String> started = new ArrayList<>();
        ReceiveBudget small = new ReceiveBudget(MEBIBYTE);
        ReceiveBudget.Share first = small.open(() -> {});
        ReceiveBudget.Share gone = small.open(() -> {});
        ReceiveBudget.Share second = small.open(() -> {});
        first.whenRoom(MEBIBYTE, () -> started.add("first, larger than the budget"));
        gone.whenRoom(1_000, () -> started.add("gone"));
        second.whenRoom(1_000, () -> started.add("second"));
        gone.close();
        Assert.assertEquals(started, List.of("first, larger than the budget"));
        first.close();
        Assert.assertEquals(started, List.of("first, larger than the budget", "second"));
        Assert.assertEquals(small.heldBytes(), 1_000);
    }

    /** Guards against memory outside the budget that is exhausted by messages that wait for room in it. */
    @Test
    public void messagesThatWaitForRoomAreLimited() {
        ReceiveBudget limited = new ReceiveBudget(4 * MEBIBYTE);
        List<Integer> refused = new ArrayList<>();
        limited.open(() -> {}).whenRoom(3 * MEBIBYTE, () -> {});
        for (int number = 1; number <= 40; number++) {
            int waiting = number;
            limited.open(() -> refused.add(waiting)).whenRoom(MEBIBYTE, () -> Assert.fail("there is no room"));
        }
        Assert.assertEquals(refused, List.of(33, 34, 35, 36, 37, 38, 39, 40));
    }

    private ReceiveBudget.Share open(String name) {
        return budget.open(() -> evicted.add(name));
    }

    @Test
    public void largestRequestIsEvictedWhenTheBudgetIsExhausted() {
        ReceiveBudget.Share small = open("small");
        small.add(1_000);
        List<ReceiveBudget.Share> endless = new ArrayList<>();
        for (int number = 1; number <= 3; number++) {
            endless.add(open("endless-" + number));
        }
        for (int part = 0; part < 64; part++) {
            for (ReceiveBudget.Share share : endless) {
                share.add(MEBIBYTE / 16);
                Assert.assertTrue(budget.heldBytes() <= 8 * MEBIBYTE);
            }
        }
        Assert.assertFalse(evicted.isEmpty());
        Assert.assertFalse(evicted.contains("small"));
        endless.forEach(ReceiveBudget.Share::close);
        Assert.assertEquals(budget.heldBytes(), 1_000);
        small.add(-1_000);
        small.close();
        small.close();
        Assert.assertEquals(budget.heldBytes(), 0);
    }
}
