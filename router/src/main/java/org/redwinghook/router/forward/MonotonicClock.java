package org.redwinghook.router.forward;

/** Monotonic clock with a resolution of milliseconds. */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Current time.
     *
     * @return milliseconds since an arbitrary origin
     */
    long millis();

    /**
     * Monotonic clock of the JVM.
     *
     * @return the clock
     */
    static MonotonicClock system() {
        return () -> System.nanoTime() / 1_000_000;
    }
}
