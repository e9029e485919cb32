package org.redwinghook.core.admission;

/** Service that one party of a fair queue received. */
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

    /** A party that comes back starts level with the others, so that time without requests earns no credit. */
    void enter(double virtualTime) {
        if (presentRequests == 0) {
            servedPerWeight = Math.max(servedPerWeight, virtualTime);
        }
        presentRequests++;
    }

    /** Level at which parties inside this one enter. */
    double innerVirtualTime() {
        return innerVirtualTime;
    }

    void advanceInnerVirtualTime(double level) {
        innerVirtualTime = Math.max(innerVirtualTime, level);
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
