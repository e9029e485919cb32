package org.redwinghook.experiments.policy;

import java.util.List;

import org.apache.commons.math3.random.RandomGenerator;
import org.redwinghook.core.admission.AdmissionController;
import org.redwinghook.core.admission.AdmissionSettings;
import org.redwinghook.core.admission.FairShares;
import org.redwinghook.core.length.LearnedLengths;
import org.redwinghook.core.length.OutputLengths;
import org.redwinghook.core.routing.EndpointSelector;

/** Policies that the experiment compares. */
enum Policy {
    /** Each endpoint in turn. */
    ROUND_ROBIN("round robin") {
        @Override
        Selection selection(RandomGenerator random) {
            return BaselineSelection.roundRobin();
        }
    },
    /** The endpoint with the fewest outstanding requests of this router. */
    LEAST_OUTSTANDING("least outstanding") {
        @Override
        Selection selection(RandomGenerator random) {
            return BaselineSelection.leastOutstanding(random);
        }
    },
    /** The less loaded of two by the load that endpoints reported. */
    BEST_OF_TWO("best of two") {
        @Override
        Selection selection(RandomGenerator random) {
            return BaselineSelection.bestOfTwo(random);
        }
    },
    /** Least outstanding requests, with the largest output reserved. */
    RESERVATION("reservation") {
        @Override
        Selection selection(RandomGenerator random) {
            return BaselineSelection.leastOutstanding(random);
        }

        @Override
        EndpointAdmission admission(AdmissionSettings settings, List<TraceRequest> trace) {
            return settings.memoryTokens() == 0
                    ? FifoAdmission.unlimited()
                    : FifoAdmission.withTokenLimit(settings.memoryTokens());
        }
    },
    /** The project's decision code. */
    REDWINGHOOK("redwinghook") {
        @Override
        Selection selection(RandomGenerator random) {
            return new EndpointSelector(random::nextInt)::select;
        }

        @Override
        EndpointAdmission admission(AdmissionSettings settings, List<TraceRequest> trace) {
            return controlledAdmission(settings, new LearnedLengths(settings.quickTokens()));
        }
    },
    /** The project's decision code with each output's length known beforehand. */
    ORACLE("oracle") {
        @Override
        Selection selection(RandomGenerator random) {
            return new EndpointSelector(random::nextInt)::select;
        }

        @Override
        EndpointAdmission admission(AdmissionSettings settings, List<TraceRequest> trace) {
            return controlledAdmission(settings, new OracleLengths(trace));
        }
    };

    private final String title;

    Policy(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }

    abstract Selection selection(RandomGenerator random);

    EndpointAdmission admission(AdmissionSettings settings, List<TraceRequest> trace) {
        return FifoAdmission.unlimited();
    }

    private static EndpointAdmission controlledAdmission(AdmissionSettings settings, OutputLengths lengths) {
        return new ControlledAdmission(new AdmissionController(settings, lengths, FairShares.EQUAL));
    }
}
