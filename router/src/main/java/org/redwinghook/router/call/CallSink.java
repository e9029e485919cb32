package org.redwinghook.router.call;

import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.RefusalReason;

/** Receives the result of a call. Exactly one of the methods is called, and only once. */
public interface CallSink {

    /**
     * Called when the service has answered.
     *
     * @param answer the answer
     */
    void onAnswer(CallAnswer answer);

    /**
     * Called when it is unknown whether the call ran.
     *
     * @param detail description of the cause
     */
    void onUnknownOutcome(String detail);

    /**
     * Called when the call was refused and not run.
     *
     * @param reason reason for the refusal
     * @param detail description of the refusal
     * @param retryAfterMillis time after which a retry may succeed
     */
    void onRefused(RefusalReason reason, String detail, long retryAfterMillis);

    /** Called when the caller's connection has closed, so that nothing can be delivered. */
    void onCallerGone();
}
