package org.redwinghook.experiments.policy;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/** Compares the policies on one trace for each deployment, and their fairness. */
public final class PolicyExperiment {

    private final long seed;

    /**
     * Creates an experiment.
     *
     * @param seed seed of the random traces
     */
    public PolicyExperiment(long seed) {
        this.seed = seed;
    }

    /**
     * Runs the comparison.
     *
     * @param plotDirectory directory for plots as PNG files, or null for none
     * @return the report as Markdown
     * @throws IOException if a plot cannot be written
     */
    public String report(@Nullable Path plotDirectory) throws IOException {
        Map<Deployment, Map<Policy, Measurements>> results = new EnumMap<>(Deployment.class);
        StringBuilder report = new StringBuilder();
        for (Deployment deployment : Deployment.values()) {
            Map<Policy, Measurements> deploymentResults = run(deployment);
            results.put(deployment, deploymentResults);
            report.append(new PolicyTable(deployment, deploymentResults).markdown())
                    .append(new TargetTable(deploymentResults).markdown());
        }
        if (plotDirectory != null) {
            new PolicyPlots(plotDirectory).write(results);
        }
        return report.append(new FairnessExperiment(seed).markdown()).toString();
    }

    Map<Policy, Measurements> run(Deployment deployment) {
        List<TraceRequest> trace = new TraceGenerator(deployment, seed)
                .generate(List.of(RequestKind.values()), TraceGenerator.usualCustomers(deployment), 1);
        // Replays run in parallel and share only the immutable trace, so the order of completion does not affect
        // results.
        Map<Policy, Measurements> results = Arrays.stream(Policy.values())
                .parallel()
                .collect(
                        Collectors.toMap(policy -> policy, policy -> Replay.withMove(deployment, policy, trace, seed)));
        return new EnumMap<>(results);
    }
}
