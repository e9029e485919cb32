package org.redwinghook.core.admission;

import org.redwinghook.core.length.OutputQuery;

/** A request at the endpoint with its progress. */
final class RunningWork {

    /** Time of a token that has not arrived. */
    static final long NONE = Long.MIN_VALUE;

    private final WorkItem item;
    private final OutputQuery output;
    private final boolean quick;
    private final long startMillis;
    private int generated;
    private long lastTokenMillis = NONE;

    RunningWork(WorkItem item, boolean quick, long startMillis) {
        this.item = item;
        this.output = item.output();
        this.quick = quick;
        this.startMillis = startMillis;
    }

    WorkItem item() {
        return item;
    }

    OutputQuery output() {
        return output;
    }

    boolean quick() {
        return quick;
    }

    long startMillis() {
        return startMillis;
    }

    int generated() {
        return generated;
    }

    long lastTokenMillis() {
        return lastTokenMillis;
    }

    void addTokens(int tokens, long nowMillis) {
        generated += tokens;
        lastTokenMillis = nowMillis;
    }
}
