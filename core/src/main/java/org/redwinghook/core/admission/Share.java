package org.redwinghook.core.admission;

/** Service that one party of a fair queue received. */
final class Share {

    private double servedPerWeight;
    private double innerTime;
    private int present;
    private int running;

    double servedPerWeight() {
        return servedPerWeight;
    }

    boolean idle() {
        return present == 0;
    }

    /** A party that comes back starts level with the others, so that time without requests earns no credit. */
    void enter(double virtualTime) {
        if (present == 0) {
            servedPerWeight = Math.max(servedPerWeight, virtualTime);
        }
        present++;
    }

    /** Level at which parties inside this one enter. */
    double innerTime() {
        return innerTime;
    }

    void innerServed(double level) {
        innerTime = Math.max(innerTime, level);
    }

    void leave() {
        present--;
    }

    int running() {
        return running;
    }

    void countRunning(int difference) {
        running += difference;
    }

    void charge(double tokens, double weight) {
        servedPerWeight += tokens / weight;
    }
}
