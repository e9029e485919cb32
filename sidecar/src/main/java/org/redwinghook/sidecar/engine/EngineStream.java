package org.redwinghook.sidecar.engine;

import io.vavr.control.Try;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.receive.PartAllowance;
import org.redwinghook.runtime.http.InterimResponses;
import org.redwinghook.runtime.http.PacedRead;
import org.redwinghook.runtime.http.ServerSentEventParser;
import org.redwinghook.runtime.json.UntrustedJson;

/**
 * Token stream of one generation. If its connection breaks, the stream is reopened after the last received token; the
 * listener is notified only once of the end.
 */
public final class EngineStream {

    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final String END_OF_STREAM = "[DONE]";
    private static final int MAXIMUM_REOPENINGS = 2;

    /** Number of lines and chunks that are read at once. */
    private static final int MAXIMUM_PARTS_AT_ONCE = 2_048;

    /** Number of lines and chunks per millisecond that are read in the long run. */
    private static final int MAXIMUM_PARTS_PER_MILLI = 10;

    /** Delay before the stream is reopened. */
    private static final long REOPEN_DELAY_MILLIS = 100;

    private final Vertx vertx;
    private final EngineClient client;
    private final String identifier;
    private final EngineListener listener;
    private FinishReason finishReason = FinishReason.STOP;
    private boolean hasFinishReason;
    private boolean isEnded;
    private boolean isPaused;
    private long receivedTokens;
    private int reopenings;
    private @Nullable HttpConnection connection;
    private @Nullable HttpClientResponse currentResponse;
    private @Nullable PacedRead reading;

    EngineStream(Vertx vertx, EngineClient client, String identifier, EngineListener listener) {
        this.vertx = vertx;
        this.client = client;
        this.identifier = identifier;
        this.listener = listener;
    }

    /** Stops reading from the engine until {@link #resume}. */
    public void pause() {
        if (!isPaused && reading != null) {
            reading.hold();
        }
        isPaused = true;
    }

    /** Resumes reading after {@link #pause}. */
    public void resume() {
        if (isPaused && reading != null) {
            reading.release();
        }
        isPaused = false;
    }

    /** Ends the stream without notifying the listener and cancels the generation at the engine. */
    public void cancel() {
        isEnded = true;
        closeConnection();
        client.cancel(identifier);
    }

    boolean isEnded() {
        return isEnded;
    }

    /**
     * Sends a request whose response is the stream, unless the stream has ended meanwhile.
     *
     * @param request the request, not yet sent
     * @param body its body
     */
    void open(HttpClientRequest request, Buffer body) {
        connection = request.connection();
        if (isEnded) {
            closeConnection();
            return;
        }
        InterimResponses.limit(request, failure -> handleBrokenConnection(failure.getMessage()));
        request.send(body)
                .onSuccess(this::readEvents)
                .onFailure(failure -> handleBrokenConnection("engine closed the connection"));
    }

    private void readEvents(HttpClientResponse response) {
        if (isEnded) {
            return;
        }
        if (response.statusCode() != HTTP_OK) {
            fail(
                    response.statusCode() == HTTP_NOT_FOUND && reopenings > 0
                            ? "engine no longer knows the generation"
                            : "engine answered with status " + response.statusCode());
            return;
        }
        currentResponse = response;
        PacedRead paced =
                new PacedRead(vertx, response, new PartAllowance(MAXIMUM_PARTS_AT_ONCE, MAXIMUM_PARTS_PER_MILLI));
        reading = paced;
        ServerSentEventParser events = new ServerSentEventParser(this::handleData);
        response.exceptionHandler(failure -> handleBrokenConnection(response, "engine closed the connection"));
        response.endHandler(ignored -> handleBrokenConnection(response, "engine ended the stream early"));
        // The parser throws on an overlong line; an uncaught exception would leave the generation without an end.
        response.handler(chunk ->
                Try.run(() -> paced.record(1 + events.handle(chunk))).onFailure(failure -> failOnMalformedEvent()));
        if (isPaused) {
            paced.hold();
        }
    }

    private void handleData(String data) {
        if (isEnded) {
            return;
        }
        if (END_OF_STREAM.equals(data)) {
            complete();
            return;
        }
        Try<EngineEvent> event = Try.of(() -> EngineEvent.parse(UntrustedJson.parseObject(Buffer.buffer(data))));
        if (event.isFailure()) {
            failOnMalformedEvent();
            return;
        }
        event.forEach(this::handleEvent);
    }

    private void handleEvent(EngineEvent event) {
        if (!event.text().isEmpty()) {
            receivedTokens++;
            listener.onToken(event.text());
        }
        String wireReason = event.finishReason();
        if (wireReason != null) {
            hasFinishReason = true;
            finishReason = FinishReason.ofWireName(wireReason);
        }
    }

    private void complete() {
        if (!hasFinishReason) {
            handleBrokenConnection("engine ended the stream without a finish reason");
            return;
        }
        isEnded = true;
        closeConnection();
        listener.onFinished(finishReason);
    }

    private void handleBrokenConnection(HttpClientResponse response, String cause) {
        if (currentResponse == response) {
            handleBrokenConnection(cause);
        }
    }

    private void handleBrokenConnection(String cause) {
        if (isEnded) {
            return;
        }
        closeConnection();
        if (reopenings >= MAXIMUM_REOPENINGS) {
            fail(cause);
            return;
        }
        reopenings++;
        vertx.setTimer(REOPEN_DELAY_MILLIS, ignored -> {
            if (!isEnded) {
                client.reopenStream(identifier, receivedTokens)
                        .onSuccess(request -> open(request, Buffer.buffer()))
                        .onFailure(failure -> handleBrokenConnection("engine closed the connection"));
            }
        });
    }

    private void failOnMalformedEvent() {
        if (!isEnded) {
            fail("engine sent a malformed event");
            client.cancel(identifier);
        }
    }

    private void fail(String cause) {
        isEnded = true;
        closeConnection();
        listener.onFailed(cause);
    }

    private void closeConnection() {
        HttpConnection open = connection;
        connection = null;
        currentResponse = null;
        reading = null;
        if (open != null) {
            open.close();
        }
    }
}
