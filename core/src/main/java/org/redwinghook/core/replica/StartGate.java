package org.redwinghook.core.replica;

/**
 * Decides when a router that starts may report that it is ready. Load: it starts just after the store came back from a copy and
 * reads only the copy, while the other routers know later statements that have not been written again. Times are
 * milliseconds of a monotonic clock.
 */
public final class StartGate {

    /** Era of a store that never came back from a copy, so that a start needs no other router. */
    private static final long FIRST_ERA = 1;

    /** Maximum wait for another router; without an answer the store's records hold. */
    private static final long MAXIMUM_WAIT_MILLIS = 600;

    /** Time for the records that another router sends behind its first report. */
    private static final long RECORDS_MILLIS = 50;

    private long completeAtMillis = -1;
    private long answeredAtMillis = -1;
    private boolean isOpen;

    /**
     * Records that the router has the records that it needs to serve requests.
     *
     * @param nowMillis current time
     */
    public void recordComplete(long nowMillis) {
        if (completeAtMillis < 0) {
            completeAtMillis = nowMillis;
        }
    }

    /**
     * Records a report of another router.
     *
     * @param nowMillis current time
     */
    public void recordReport(long nowMillis) {
        if (answeredAtMillis < 0) {
            answeredAtMillis = nowMillis;
        }
    }

    /**
     * Whether another router has answered.
     *
     * @return true from its first report on
     */
    public boolean isAnswered() {
        return answeredAtMillis >= 0;
    }

    /**
     * Whether the router may report that it is ready; it stays so.
     *
     * @param era era of the store, 0 if it has named none
     * @param mayHaveOthers whether other routers are listed, or the list has not been read
     * @param nowMillis current time
     * @return false while it waits for records of the store or of another router
     */
    public boolean isOpen(long era, boolean mayHaveOthers, long nowMillis) {
        if (!isOpen && completeAtMillis >= 0) {
            isOpen = era <= FIRST_ERA
                    || !mayHaveOthers
                    || (answeredAtMillis >= 0 && nowMillis - answeredAtMillis >= RECORDS_MILLIS)
                    || nowMillis - completeAtMillis >= MAXIMUM_WAIT_MILLIS;
        }
        return isOpen;
    }
}
