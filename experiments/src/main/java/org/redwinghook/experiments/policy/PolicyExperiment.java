package org.redwinghook.experiments.policy;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;

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
        return report.toString();
    }

    Map<Policy, Measurements> run(Deployment deployment) {
        List<TracedRequest> trace =
                new TraceGenerator(deployment, seed).generate(TraceGenerator.usualCustomers(deployment), 1);
        Map<Policy, Measurements> results = new EnumMap<>(Policy.class);
        for (Policy policy : Policy.values()) {
            results.put(policy, Replay.withMove(deployment, policy, trace, seed));
        }
        return results;
    }
}
