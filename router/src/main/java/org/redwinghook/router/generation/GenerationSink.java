package org.redwinghook.router.generation;

import java.util.List;

import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.TokenUsage;

/** Receives the tokens and the result of a generation. */
public interface GenerationSink {

    /**
     * Called with tokens to deliver, each once and in order.
     *
     * @param generation identifier of the generation
     * @param firstSequence sequence number of the first text
     * @param texts texts of consecutive tokens
     */
    void onTokens(String generation, long firstSequence, List<String> texts);

    /**
     * Called when the generation is complete.
     *
     * @param generation identifier of the generation
     * @param reason the engine's reason for stopping
     * @param usage token counts of the generation
     */
    void onFinished(String generation, FinishReason reason, TokenUsage usage);

    /**
     * Called when the generation ended before it was complete.
     *
     * @param detail description of the cause
     * @param delivered number of tokens delivered before
     */
    void onInterrupted(String detail, long delivered);

    /**
     * Called when the request was refused and not run.
     *
     * @param reason reason for the refusal
     * @param detail description of the refusal
     * @param retryAfterMillis time after which a retry may succeed
     */
    void onRefused(RefusalReason reason, String detail, long retryAfterMillis);

    /**
     * Called when no token was received and it is unknown whether the request ran.
     *
     * @param detail description of the cause
     */
    void onUnknownOutcome(String detail);

    /** Called when the caller's connection has closed, so that nothing more can be delivered. */
    void onCallerGone();
}
