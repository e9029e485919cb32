package org.redwinghook.sidecar.once;

import org.redwinghook.core.once.NotRunCause;
import org.redwinghook.core.once.StoredAnswer;

/** Receives what happens with a claim. All methods but run are last calls. */
public interface ClaimListener {

    /**
     * The call must be run now; its end must be reported with {@link KeyedCallService#finished}.
     *
     * @param run the run
     */
    void onRunGranted(KeyedRun run);

    /**
     * The service answered.
     *
     * @param answer the answer
     * @param replayed whether another request's run produced it
     */
    void onAnswered(StoredAnswer answer, boolean replayed);

    /**
     * The call was not run and will not be.
     *
     * @param cause why
     */
    void onNotRun(NotRunCause cause);

    /** The key belongs to a different request; nothing was run. */
    void onKeyConflict();

    /**
     * The call may have run.
     *
     * @param detail why nothing more is known
     */
    void onOutcomeUnknown(String detail);
}
