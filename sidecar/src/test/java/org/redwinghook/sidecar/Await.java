package org.redwinghook.sidecar;

import java.util.function.BooleanSupplier;

import org.testng.Assert;

/** Waits until asynchronous conditions hold. */
final class Await {

    private static final long TIMEOUT_NANOS = 10_000_000_000L;
    private static final long PAUSE_MILLIS = 5;

    private Await() {}

    static void until(String what, BooleanSupplier condition) {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.getAsBoolean()) {
            Assert.assertTrue(System.nanoTime() < deadlineNanos, "timed out waiting for: " + what);
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
