package org.redwinghook.sidecar.once;

import org.redwinghook.core.once.NotRunCause;
import org.redwinghook.core.once.StoredAnswer;

/** Receives the result of a claim. No method is called after any method other than {@link #onRunGranted}. */
public interface ClaimListener {

    /**
     * Called when the call must run now. Its outcome must be reported with {@link KeyedCallService#completeRun}.
     *
     * @param run the run
     */
    void onRunGranted(KeyedRun run);

    /**
     * Called when the service has answered.
     *
     * @param answer the answer
     * @param replayed whether the answer was produced for another request
     */
    void onAnswered(StoredAnswer answer, boolean replayed);

    /**
     * Called when the call was not run and will not be.
     *
     * @param cause reason why it was not run
     */
    void onNotRun(NotRunCause cause);

    /** Called when the key belongs to a different request; nothing was run. */
    void onKeyConflict();

    /**
     * Called when it is unknown whether the call has run.
     *
     * @param detail reason why the outcome is unknown
     */
    void onOutcomeUnknown(String detail);
}
