package org.redwinghook.router.caller;

import java.util.List;
import java.util.function.LongConsumer;

import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.router.generation.GenerationSink;

/** Buffers a generation and writes it to the caller when it is complete. */
public final class BufferedCompletion implements GenerationSink {

    private static final int HTTP_OK = 200;
    private static final int HTTP_BAD_GATEWAY = 502;
    private static final int HTTP_GATEWAY_TIMEOUT = 504;

    private final CallerResponse response;
    private final CompletionFormat format;
    private final String model;
    private final StringBuilder text = new StringBuilder();
    private LongConsumer collectedListener = sequence -> {};

    /**
     * Creates a writer.
     *
     * @param response response to write to
     * @param format format of the response
     * @param model name of the model in the request
     */
    public BufferedCompletion(CallerResponse response, CompletionFormat format, String model) {
        this.response = response;
        this.format = format;
        this.model = model;
    }

    /**
     * Sets the listener for tokens added to the buffer.
     *
     * @param listener receives the sequence number of the last token added
     */
    public void onCollected(LongConsumer listener) {
        collectedListener = listener;
    }

    @Override
    public void onTokens(String generation, long firstSequence, List<String> texts) {
        texts.forEach(text::append);
        collectedListener.accept(firstSequence + texts.size() - 1);
    }

    @Override
    public void onFinished(String generation, FinishReason reason, TokenUsage usage) {
        JsonObject body =
                format.answer(generation, model, text.toString(), reason).put("usage", CompletionFormat.usage(usage));
        CallerErrors.respond(response, HTTP_OK, Outcome.DONE, body);
    }

    @Override
    public void onInterrupted(String detail, long delivered) {
        CallerErrors.respond(response, HTTP_BAD_GATEWAY, Outcome.UNKNOWN, CallerErrors.body("interrupted", detail));
    }

    @Override
    public void onRefused(RefusalReason reason, String detail, long retryAfterMillis) {
        CallerErrors.refuse(response, reason, detail, retryAfterMillis);
    }

    @Override
    public void onUnknownOutcome(String detail) {
        CallerErrors.respond(
                response, HTTP_GATEWAY_TIMEOUT, Outcome.UNKNOWN, CallerErrors.body("outcome_unknown", detail));
    }

    @Override
    public void onCallerGone() {
        // The caller's connection has closed.
    }
}
