package org.redwinghook.experiments.policy;

/** The four measures by which policies are compared. */
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
    TOKEN_GAP("gap p95, ms", false) {
        @Override
        double value(Measurements result) {
            return result.tokenGapMillis(95);
        }
    },
    ON_TIME_DURING_MOVE("in time during move, %", true) {
        @Override
        double value(Measurements result) {
            return result.duringMove().onTimePercent();
        }
    };

    /** Design target: at most 25% worse than the oracle. */
    static final double ORACLE_TOLERANCE_FACTOR = 1.25;

    private final String title;
    private final boolean isHigherBetter;

    Measure(String title, boolean isHigherBetter) {
        this.title = title;
        this.isHigherBetter = isHigherBetter;
    }

    String title() {
        return title;
    }

    abstract double value(Measurements result);

    boolean isBetter(Measurements result, Measurements baseline) {
        return isHigherBetter ? value(result) > value(baseline) : value(result) < value(baseline);
    }

    boolean isNearOracle(Measurements result, Measurements oracle) {
        return isHigherBetter
                ? value(result) * ORACLE_TOLERANCE_FACTOR >= value(oracle)
                : value(result) <= value(oracle) * ORACLE_TOLERANCE_FACTOR;
    }
}
