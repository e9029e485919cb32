package org.redwinghook.router.forward;

/** Limits the lines of one kind in the log. Confined to one event loop. */
final class LineLimit {

    private static final long WINDOW_MILLIS = 1_000;

    private final int maximumLines;
    private long windowStartMillis;
    private int lines;
    private int suppressed;

    /**
     * Creates a limit.
     *
     * @param maximumLines maximum number of lines a second
     */
    LineLimit(int maximumLines) {
        this.maximumLines = maximumLines;
    }

    /**
     * Counts a line.
     *
     * @param nowMillis monotonic time, in milliseconds
     * @return whether it may be written
     */
    boolean mayWrite(long nowMillis) {
        if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
            windowStartMillis = nowMillis;
            lines = 0;
        }
        lines++;
        if (lines > maximumLines) {
            suppressed++;
            return false;
        }
        return true;
    }

    /**
     * Number of lines that were not written since the last call.
     *
     * @return the number
     */
    int takeSuppressed() {
        int number = suppressed;
        suppressed = 0;
        return number;
    }
}
