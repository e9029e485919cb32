package org.redwinghook.core.admission;

import org.redwinghook.core.length.OutputQuery;

/** A request that runs at the endpoint, with its progress. */
final class RunningWork {

    /** Token time of a generation without a token. */
    static final long NO_TOKEN = Long.MIN_VALUE;

    private final WorkItem item;
    private final OutputQuery output;
    private final boolean isQuick;
    private final boolean startedAlone;
    private final long startMillis;
    private int generated;
    private long lastTokenMillis = NO_TOKEN;

    RunningWork(WorkItem item, boolean quick, boolean startedAlone, long startMillis) {
        this.item = item;
        this.output = item.output();
        this.isQuick = quick;
        this.startedAlone = startedAlone;
        this.startMillis = startMillis;
    }

    WorkItem item() {
        return item;
    }

    OutputQuery output() {
        return output;
    }

    boolean isQuick() {
        return isQuick;
    }

    /** Whether no other generation waited for its first token when this one started. */
    boolean startedAlone() {
        return startedAlone;
    }

    boolean awaitsFirstToken() {
        return lastTokenMillis == NO_TOKEN;
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
