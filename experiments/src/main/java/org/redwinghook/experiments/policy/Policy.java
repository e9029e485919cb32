package org.redwinghook.experiments.policy;

import java.util.List;

import org.apache.commons.math3.random.RandomGenerator;
import org.redwinghook.core.admission.AdmissionController;
import org.redwinghook.core.admission.AdmissionSettings;
import org.redwinghook.core.admission.FairShares;
import org.redwinghook.core.length.LearnedLengths;
import org.redwinghook.core.length.OutputLengths;
import org.redwinghook.core.routing.EndpointSelector;

/** Policies for selection and admission that the experiment compares. */
enum Policy {
    /** Selects the endpoints in turn. */
    ROUND_ROBIN("round robin") {
        @Override
        Selection selection(RandomGenerator random) {
            return BaselineSelection.roundRobin();
        }
    },
    /** Selects the endpoint with the fewest outstanding requests of this router. */
    LEAST_OUTSTANDING("least outstanding") {
        @Override
        Selection selection(RandomGenerator random) {
            return BaselineSelection.leastOutstanding(random);
        }
    },
    /** Selects the less loaded of two random endpoints by their reported load. */
    BEST_OF_TWO("best of two") {
        @Override
        Selection selection(RandomGenerator random) {
            return BaselineSelection.bestOfTwo(random);
        }
    },
    /** Least outstanding requests, and admission that reserves the maximum output of each generation. */
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
    /** The selection and admission of redwinghook. */
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
    /** The selection and admission of redwinghook with the exact length of each output known in advance. */
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
