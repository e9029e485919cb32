package org.redwinghook.experiments.policy;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/** Compares the policies on one trace of each deployment. */
public final class PolicyExperiment {

    private final long seed;

    /**
     * Creates an experiment.
     *
     * @param seed seed of all traces
     */
    public PolicyExperiment(long seed) {
        this.seed = seed;
    }

    /**
     * Runs the comparison.
     *
     * @return the report as Markdown
     */
    public String report() {
        StringBuilder report = new StringBuilder();
        for (Deployment deployment : Deployment.values()) {
            report.append(new PolicyTable(deployment, run(deployment)).markdown());
        }
        return report.append(new FairnessExperiment(seed).markdown()).toString();
    }

    Map<Policy, Measurements> run(Deployment deployment) {
        List<TracedRequest> trace = new TraceGenerator(deployment, seed)
                .generate(List.of(RequestKind.values()), TraceGenerator.usualCustomers(deployment), 1);
        // The replays share nothing but the immutable trace, so that the order in which they end changes no figure.
        Map<Policy, Measurements> results = Arrays.stream(Policy.values())
                .parallel()
                .collect(
                        Collectors.toMap(policy -> policy, policy -> Replay.withMove(deployment, policy, trace, seed)));
        return new EnumMap<>(results);
    }
}
