package org.redwinghook.core.once;

/** Decision on a claim. Each claim gets one verdict, except that {@link Run} is followed by another one. */
public sealed interface Verdict {

    /**
     * The claim that the verdict is for.
     *
     * @return its number
     */
    long claim();

    /**
     * The call must be run now, and its end reported.
     *
     * @param claim the claim whose request is run
     * @param attempt number of the attempt whose end is to be reported
     */
    record Run(long claim, long attempt) implements Verdict {}

    /**
     * The service answered.
     *
     * @param claim the claim
     * @param answer the answer
     * @param replayed whether the run of another claim produced it
     */
    record Answered(long claim, StoredAnswer answer, boolean replayed) implements Verdict {}

    /**
     * The service answered an earlier claim, and its answer is on the log.
     *
     * @param claim the claim
     * @param key the key
     * @param offset offset of the record with the outcome
     */
    record Replay(long claim, OperationKey key, long offset) implements Verdict {}

    /**
     * The call was not run on behalf of this claim and will not be.
     *
     * @param claim the claim
     * @param cause why it was not run
     */
    record NotRun(long claim, NotRunCause cause) implements Verdict {}

    /**
     * The key belongs to a different request; nothing was run.
     *
     * @param claim the claim
     */
    record Conflict(long claim) implements Verdict {}

    /**
     * The call may have run.
     *
     * @param claim the claim
     * @param detail why nothing more is known
     */
    record Unknown(long claim, String detail) implements Verdict {}

    /**
     * Another executor won the key and must be asked.
     *
     * @param claim the claim
     * @param executor the winner
     * @param attempt number of the winner's attempt
     */
    record Ask(long claim, ExecutorIdentity executor, long attempt) implements Verdict {}
}
