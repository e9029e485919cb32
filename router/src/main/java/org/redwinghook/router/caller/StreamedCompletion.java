package org.redwinghook.router.caller;

import java.util.List;
import java.util.function.LongConsumer;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.router.generation.GenerationSink;

/** Writes a generation to a caller as server-sent events. */
public final class StreamedCompletion implements GenerationSink {

    private static final int HTTP_BAD_GATEWAY = 502;
    private static final int HTTP_GATEWAY_TIMEOUT = 504;

    private final CallerResponse response;
    private final HttpServerResponse http;
    private final CompletionFormat format;
    private final String model;
    private LongConsumer writtenListener = sequence -> {};
    private long lastSequence;

    /**
     * Creates a writer.
     *
     * @param response response to write to
     * @param format format of the events
     * @param model name of the model in the request
     */
    public StreamedCompletion(CallerResponse response, CompletionFormat format, String model) {
        this.response = response;
        this.http = response.http();
        this.format = format;
        this.model = model;
    }

    /**
     * Sets the listener for tokens written to the caller's socket.
     *
     * @param listener receives the sequence number of the last token written
     */
    public void onWritten(LongConsumer listener) {
        writtenListener = listener;
    }

    @Override
    public void onTokens(String generation, long firstSequence, List<String> texts) {
        writeHead();
        long sequence = firstSequence;
        for (String text : texts) {
            JsonObject data = format.chunk(generation, model, text, sequence == 1, null);
            http.write("id: " + generation + "." + sequence + "\ndata: " + data.encode() + "\n\n");
            sequence++;
        }
        lastSequence = sequence - 1;
        if (http.writeQueueFull()) {
            http.drainHandler(ignored -> writtenListener.accept(lastSequence));
        } else {
            writtenListener.accept(lastSequence);
        }
    }

    @Override
    public void onFinished(String generation, FinishReason reason, TokenUsage usage) {
        writeHead();
        JsonObject last =
                format.chunk(generation, model, "", false, reason).put("usage", CompletionFormat.usage(usage));
        http.write("data: " + last.encode() + "\n\n");
        response.end(Buffer.buffer("data: [DONE]\n\n")).onSuccess(ignored -> writtenListener.accept(lastSequence));
    }

    @Override
    public void onInterrupted(String detail, long delivered) {
        JsonObject error = CallerErrors.body("interrupted", detail);
        error.getJsonObject("error").put("tokens_delivered", delivered);
        if (!http.headWritten()) {
            CallerErrors.respond(response, HTTP_BAD_GATEWAY, Outcome.UNKNOWN, error);
            return;
        }
        response.end(Buffer.buffer("event: error\ndata: " + error.encode() + "\n\n"));
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

    private void writeHead() {
        if (http.headWritten()) {
            return;
        }
        http.setChunked(true)
                .putHeader("content-type", "text/event-stream")
                .putHeader("cache-control", "no-cache")
                .putHeader(Outcome.HEADER, Outcome.STREAMING.headerValue());
    }
}
