package org.redwinghook.experiments.policy;

/** The four measures that the policies are judged by. */
enum Measure {
    STALL("stall time, s", false) {
        @Override
        double value(Measurements result) {
            return result.stallSeconds();
        }
    },
    PREEMPTIONS("preemptions", false) {
        @Override
        double value(Measurements result) {
            return result.preemptions();
        }
    },
    GAP("gap p95, ms", false) {
        @Override
        double value(Measurements result) {
            return result.gapMillis(95);
        }
    },
    MOVE("in time during move, %", true) {
        @Override
        double value(Measurements result) {
            return result.move().onTimePercent();
        }
    };

    /** Target of the design: no more than a quarter worse than the oracle. */
    static final double ORACLE_FACTOR = 1.25;

    private final String title;
    private final boolean moreIsBetter;

    Measure(String title, boolean moreIsBetter) {
        this.title = title;
        this.moreIsBetter = moreIsBetter;
    }

    String title() {
        return title;
    }

    abstract double value(Measurements result);

    boolean isAhead(Measurements ours, Measurements baseline) {
        return moreIsBetter ? value(ours) > value(baseline) : value(ours) < value(baseline);
    }

    boolean isNearOracle(Measurements ours, Measurements oracle) {
        return moreIsBetter
                ? value(ours) * ORACLE_FACTOR >= value(oracle)
                : value(ours) <= value(oracle) * ORACLE_FACTOR;
    }
}
