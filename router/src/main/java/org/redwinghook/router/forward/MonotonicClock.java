package org.redwinghook.router.forward;

/** Milliseconds that only ever increase. */
@FunctionalInterface
public interface MonotonicClock {

    /**
     * Time now.
     *
     * @return milliseconds since an arbitrary moment
     */
    long millis();

    /**
     * The clock of the virtual machine.
     *
     * @return the clock
     */
    static MonotonicClock system() {
        return () -> System.nanoTime() / 1_000_000;
    }
}
