package org.redwinghook.experiments.policy;

import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Markdown table that shows for each measure whether redwinghook meets the target: better than each baseline, and near
 * the oracle.
 */
final class TargetTable {

    private static final List<Policy> BASELINES =
            List.of(Policy.ROUND_ROBIN, Policy.LEAST_OUTSTANDING, Policy.BEST_OF_TWO, Policy.RESERVATION);

    private final Map<Policy, Measurements> results;

    TargetTable(Map<Policy, Measurements> results) {
        this.results = results;
    }

    String markdown() {
        StringBuilder table = new StringBuilder("| measure | redwinghook | oracle | within 1.25 of the oracle |");
        BASELINES.forEach(
                policy -> table.append(" ahead of ").append(policy.title()).append(" |"));
        table.append("\n|---|---:|---:|---|---|---|---|---|\n");
        for (Measure measure : Measure.values()) {
            table.append(formatRow(measure));
        }
        return table.append('\n').toString();
    }

    private String formatRow(Measure measure) {
        Measurements result = results.get(Policy.REDWINGHOOK);
        Measurements oracle = results.get(Policy.ORACLE);
        StringBuilder row = new StringBuilder(String.format(
                Locale.ROOT,
                "| %s | %.1f | %.1f | %s |",
                measure.title(),
                measure.value(result),
                measure.value(oracle),
                yesOrNo(measure.isNearOracle(result, oracle))));
        for (Policy baseline : BASELINES) {
            row.append(' ')
                    .append(yesOrNo(measure.isBetter(result, results.get(baseline))))
                    .append(" |");
        }
        return row.append('\n').toString();
    }

    private static String yesOrNo(boolean isMet) {
        return isMet ? "yes" : "no";
    }
}
