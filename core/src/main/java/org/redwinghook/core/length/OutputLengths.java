package org.redwinghook.core.length;

/** Knowledge about the output lengths of one service. Lengths are in tokens. */
public interface OutputLengths {

    /**
     * Probability that a generation runs on for more steps, given the tokens that it already has.
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
     * Notes the length of a complete output.
     *
     * @param output the generation
     * @param generated its tokens
     */
    void record(OutputQuery output, int generated);
}
