package org.redwinghook.router.generation;

import java.util.List;

import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.TokenUsage;

/** The caller's side of a generation. */
public interface GenerationSink {

    /**
     * Tokens to deliver, each once and in order.
     *
     * @param generation identifier of the generation
     * @param firstSequence sequence number of the first text
     * @param texts texts of consecutive tokens
     */
    void onTokens(String generation, long firstSequence, List<String> texts);

    /**
     * The answer is whole.
     *
     * @param generation identifier of the generation
     * @param reason why the engine stopped
     * @param usage tokens counted
     */
    void onFinished(String generation, FinishReason reason, TokenUsage usage);

    /**
     * The answer stays incomplete.
     *
     * @param detail cause
     * @param delivered tokens delivered before
     */
    void onInterrupted(String detail, long delivered);

    /**
     * The request was not run.
     *
     * @param reason why
     * @param detail explanation
     * @param retryAfterMillis time after which another try makes sense
     */
    void onRefused(RefusalReason reason, String detail, long retryAfterMillis);

    /**
     * The request got no token and may have run.
     *
     * @param detail cause
     */
    void onUnknownOutcome(String detail);

    /** The caller went away; nothing more can be delivered. */
    void onCallerGone();
}
