package org.redwinghook.sidecar;

import java.util.function.BooleanSupplier;

import org.testng.Assert;

/** Waits of tests. */
final class Await {

    private static final long TIMEOUT_NANOS = 10_000_000_000L;
    private static final long PAUSE_MILLIS = 5;

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            Assert.assertTrue(System.nanoTime() < deadlineNanos, "waited in vain: " + what);
            pause(PAUSE_MILLIS);
        }
    }

    static void pause(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
