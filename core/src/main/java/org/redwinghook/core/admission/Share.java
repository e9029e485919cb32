package org.redwinghook.core.admission;

/** Tokens served to one owner or customer in a fair queue, relative to its weight. */
final class Share {

    private double servedPerWeight;
    private double innerVirtualTime;
    private int presentRequests;
    private int runningRequests;

    double servedPerWeight() {
        return servedPerWeight;
    }

    boolean isIdle() {
        return presentRequests == 0;
    }

    /**
     * Adds a present request. An owner or customer that becomes active again starts at the current virtual time, so
     * that time without requests earns no credit.
     */
    void enter(double virtualTime) {
        if (presentRequests == 0) {
            servedPerWeight = Math.max(servedPerWeight, virtualTime);
        }
        presentRequests++;
    }

    /** Virtual time at which the customers of this owner enter. */
    double innerVirtualTime() {
        return innerVirtualTime;
    }

    void advanceInnerVirtualTime(double virtualTime) {
        innerVirtualTime = Math.max(innerVirtualTime, virtualTime);
    }

    void leave() {
        presentRequests--;
    }

    int runningRequests() {
        return runningRequests;
    }

    void changeRunning(int difference) {
        runningRequests += difference;
    }

    void charge(double tokens, double weight) {
        servedPerWeight += tokens / weight;
    }
}
