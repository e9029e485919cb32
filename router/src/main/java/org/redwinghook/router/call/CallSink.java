package org.redwinghook.router.call;

import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.RefusalReason;

/** The caller's side of a call. Exactly one method is called, once. */
public interface CallSink {

    /**
     * The service answered.
     *
     * @param answer the answer
     */
    void onAnswer(CallAnswer answer);

    /**
     * Nobody knows whether the call ran.
     *
     * @param detail cause
     */
    void onUnknownOutcome(String detail);

    /**
     * The call was not run.
     *
     * @param reason why
     * @param detail explanation
     * @param retryAfterMillis time after which another try makes sense
     */
    void onRefused(RefusalReason reason, String detail, long retryAfterMillis);

    /** The caller went away; nothing can be delivered. */
    void onCallerGone();
}
