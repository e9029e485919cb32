package org.redwinghook.core.length;

/** Estimates of the output lengths of one service, in tokens. */
public interface OutputLengths {

    /**
     * Probability that a generation continues for more steps, given the tokens that it already has.
     *
     * @param output the generation
     * @param generated tokens so far
     * @param steps further decoding steps
     * @return probability from 0 to 1
     */
    double survival(OutputQuery output, int generated, int steps);

    /**
     * Expected number of further tokens, given the tokens that the generation already has.
     *
     * @param output the generation
     * @param generated tokens so far
     * @return expected tokens, at least 0 and at most what the generation's maximum leaves
     */
    double expectedRemaining(OutputQuery output, int generated);

    /**
     * Records the length of a complete output.
     *
     * @param output the generation
     * @param generated number of its tokens
     */
    void recordOutput(OutputQuery output, int generated);
}
