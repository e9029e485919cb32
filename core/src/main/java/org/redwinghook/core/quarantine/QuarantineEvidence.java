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

    /** Maximum number of parts in one piece, unless a single request has more; 800 kB with the longest names. */
    private static final int MAXIMUM_PARTS_PER_PIECE = 8_192;

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

    /**
     * Splits the evidence into pieces whose messages stay far below the limit of a message. Successes come first, so that a
     * part is not quarantined before its successes are known.
     *
     * @return the pieces, to be sent in this order
     */
    public List<QuarantineEvidence> split() {
        if (crashes.stream().mapToInt(EndpointCrash::partCount).sum() <= MAXIMUM_PARTS_PER_PIECE) {
            return List.of(this);
        }
        List<QuarantineEvidence> pieces = new ArrayList<>();
        pieces.add(new QuarantineEvidence(List.of(), successes, List.of()));
        List<EndpointCrash> gathered = new ArrayList<>();
        int parts = 0;
        for (EndpointCrash crash : crashes) {
            for (EndpointCrash single : crash.perSuspect()) {
                if (parts > 0 && parts + single.partCount() > MAXIMUM_PARTS_PER_PIECE) {
                    pieces.add(new QuarantineEvidence(gathered, List.of(), List.of()));
                    gathered.clear();
                    parts = 0;
                }
                gathered.add(single);
                parts += single.partCount();
            }
        }
        pieces.add(new QuarantineEvidence(gathered, List.of(), trials));
        return pieces;
    }

    private static <T> List<T> joined(List<T> first, List<T> second) {
        List<T> all = new ArrayList<>(first);
        all.addAll(second);
        return all;
    }
}
