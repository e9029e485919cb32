package org.redwinghook.experiments.policy;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.redwinghook.core.length.OutputLengths;
import org.redwinghook.core.length.OutputQuery;

/** Output lengths that are exact because they are taken from the trace. */
final class OracleLengths implements OutputLengths {

    private final Map<Long, Integer> lengths = new HashMap<>();

    OracleLengths(List<TraceRequest> trace) {
        trace.forEach(request -> lengths.put(request.identifier(), request.outputTokens()));
    }

    @Override
    public double survival(OutputQuery output, int generated, int steps) {
        return generated + steps < lengths.get(output.identifier()) ? 1 : 0;
    }

    @Override
    public double expectedRemaining(OutputQuery output, int generated) {
        return Math.max(0, lengths.get(output.identifier()) - generated);
    }

    @Override
    public void recordOutput(OutputQuery output, int generated) {}
}
