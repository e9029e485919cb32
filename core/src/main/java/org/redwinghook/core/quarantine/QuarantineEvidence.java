package org.redwinghook.core.quarantine;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnore;

/**
 * What routers tell each other about parts that may crash endpoints. Evidence can be merged in any order and more than
 * once.
 *
 * @param crashes crashes of endpoints
 * @param successes last success of parts under suspicion
 * @param trials requests that were sent with a part in quarantine
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record QuarantineEvidence(List<EndpointCrash> crashes, List<PartSuccess> successes, List<PartTrial> trials) {

    /** No evidence. */
    public static final QuarantineEvidence NONE = new QuarantineEvidence(List.of(), List.of(), List.of());

    public QuarantineEvidence {
        crashes = List.copyOf(crashes);
        successes = List.copyOf(successes);
        trials = List.copyOf(trials);
    }

    /**
     * Whether there is nothing to tell.
     *
     * @return true without crashes, successes and trials
     */
    @JsonIgnore
    public boolean isEmpty() {
        return crashes.isEmpty() && successes.isEmpty() && trials.isEmpty();
    }

    /**
     * Moves all times, which converts between a clock and times relative to its current time.
     *
     * @param millis time to add, in milliseconds
     * @return the same evidence at other times
     */
    public QuarantineEvidence shiftedBy(long millis) {
        return new QuarantineEvidence(
                crashes.stream().map(crash -> crash.shiftedBy(millis)).toList(),
                successes.stream().map(success -> success.shiftedBy(millis)).toList(),
                trials.stream().map(trial -> trial.shiftedBy(millis)).toList());
    }

    /**
     * Adds other evidence.
     *
     * @param other the other evidence
     * @return both
     */
    public QuarantineEvidence plus(QuarantineEvidence other) {
        return new QuarantineEvidence(
                joined(crashes, other.crashes), joined(successes, other.successes), joined(trials, other.trials));
    }

    private static <T> List<T> joined(List<T> first, List<T> second) {
        List<T> all = new ArrayList<>(first);
        all.addAll(second);
        return all;
    }
}
