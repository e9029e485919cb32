package org.redwinghook.experiments.policy;

import java.util.Locale;
import java.util.Map;

/** Markdown tables of the results of one deployment. */
final class PolicyTable {

    private final Deployment deployment;
    private final Map<Policy, Measurements> results;

    PolicyTable(Deployment deployment, Map<Policy, Measurements> results) {
        this.deployment = deployment;
        this.results = results;
    }

    String markdown() {
        StringBuilder table = new StringBuilder();
        table.append("### ").append(deployment.title()).append("\n\n");
        table.append(
                        "| policy | stall s | preemptions | gap p50 ms | gap p95 ms | gap p99 ms | in time during move % |")
                .append(" late during move % | refused during move % |\n")
                .append("|---|---:|---:|---:|---:|---:|---:|---:|---:|\n");
        results.forEach((policy, result) -> table.append(format(
                "| %s | %.0f | %d | %.1f | %.1f | %.1f | %.1f | %.1f | %.1f |\n",
                policy.title(),
                result.stallSeconds(),
                result.preemptions(),
                result.tokenGapMillis(50),
                result.tokenGapMillis(95),
                result.tokenGapMillis(99),
                result.duringMove().onTimePercent(),
                result.duringMove().latePercent(),
                result.duringMove().refusedPercent())));
        table.append(
                        "\n| policy | requests | tokens | wait before first token s | first token p50 ms | p95 ms | p99 ms |")
                .append(" in time % | late % | refused % | interrupted | engine failures |\n")
                .append("|---|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|---:|\n");
        results.forEach((policy, result) -> table.append(format(
                "| %s | %d | %d | %.0f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %d | %d |\n",
                policy.title(),
                result.total().requests(),
                result.total().tokens(),
                result.waitSeconds(),
                result.firstTokenMillis(50),
                result.firstTokenMillis(95),
                result.firstTokenMillis(99),
                result.total().onTimePercent(),
                result.total().latePercent(),
                result.total().refusedPercent(),
                result.interrupted(),
                result.crashes())));
        return table.append('\n').toString();
    }

    private static String format(String pattern, Object... values) {
        return String.format(Locale.ROOT, pattern, values);
    }
}
