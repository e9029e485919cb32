package org.redwinghook.experiments.policy;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/**
 * Measures how a customer or owner that exceeds its share affects the others. The traces hold drafts only, and all
 * endpoints stay in service.
 */
final class FairnessExperiment {

    private static final Deployment DEPLOYMENT = Deployment.PARNA_MUHELY;
    private static final List<Policy> POLICIES = List.of(Policy.LEAST_OUTSTANDING, Policy.REDWINGHOOK);

    private final long seed;

    FairnessExperiment(long seed) {
        this.seed = seed;
    }

    String markdown() {
        String header = "### Limits and fairness\n\n"
                + "| scenario | policy | group | requests | in time % | late % | refused % | first token p95 ms |"
                + " tokens per customer |\n|---|---|---|---:|---:|---:|---:|---:|---:|\n";
        return Arrays.stream(FairnessScenario.values())
                .parallel()
                .map(this::formatRows)
                .collect(Collectors.joining("", header, "\n"));
    }

    Measurements run(FairnessScenario scenario, Policy policy) {
        List<TraceRequest> trace = new TraceGenerator(DEPLOYMENT, seed)
                .generate(List.of(RequestKind.DRAFT), scenario.customers(), scenario.rateFactor());
        return Replay.withoutMove(DEPLOYMENT, policy, trace, seed);
    }

    private String formatRows(FairnessScenario scenario) {
        StringBuilder rows = new StringBuilder();
        for (Policy policy : POLICIES) {
            Measurements result = run(scenario, policy);
            scenario.groups()
                    .forEach((group, customers) -> rows.append(
                            formatRow(scenario, policy, group, customers.size(), result.sumOfCustomers(customers))));
        }
        return rows.toString();
    }

    private static String formatRow(
            FairnessScenario scenario, Policy policy, String group, int customers, RequestCounts counts) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %s | %d | %.1f | %.1f | %.1f | %.0f | %d |\n",
                scenario.title(),
                policy.title(),
                group,
                counts.requests(),
                counts.onTimePercent(),
                counts.latePercent(),
                counts.refusedPercent(),
                counts.firstTokenMillis(95),
                counts.tokensDuringArrivals() / customers);
    }
}
