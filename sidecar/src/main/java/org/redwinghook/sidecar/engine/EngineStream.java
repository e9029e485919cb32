package org.redwinghook.sidecar.engine;

import io.vavr.control.Try;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.runtime.http.ServerSentEvents;

/**
 * Stream of one generation. A connection that breaks is opened again at the engine after the last token that arrived;
 * the listener hears one end only.
 */
public final class EngineStream {

    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final String END_OF_STREAM = "[DONE]";
    private static final int MOST_REOPENINGS = 2;

    /** Pause before the stream is opened again, in milliseconds. */
    private static final long REOPEN_PAUSE_MILLIS = 100;

    private final Vertx vertx;
    private final EngineClient client;
    private final String identifier;
    private final EngineListener listener;
    private FinishReason reason = FinishReason.STOP;
    private boolean finishSeen;
    private boolean ended;
    private boolean paused;
    private long tokens;
    private int reopenings;
    private @Nullable HttpClientResponse current;

    EngineStream(Vertx vertx, EngineClient client, String identifier, EngineListener listener) {
        this.vertx = vertx;
        this.client = client;
        this.identifier = identifier;
        this.listener = listener;
    }

    /** Stops to read from the engine until {@link #resume}. */
    public void pause() {
        paused = true;
        if (current != null) {
            current.pause();
        }
    }

    /** Reads on after a pause. */
    public void resume() {
        paused = false;
        if (current != null) {
            current.resume();
        }
    }

    /** Ends the stream without telling the listener and cancels the generation at the engine. */
    public void cancel() {
        ended = true;
        closeConnection();
        client.cancel(identifier);
    }

    boolean isEnded() {
        return ended;
    }

    void readFrom(Future<HttpClientResponse> answer) {
        answer.onSuccess(this::read).onFailure(failure -> broken("engine closed the connection"));
    }

    private void read(HttpClientResponse response) {
        if (ended) {
            response.request().connection().close();
            return;
        }
        if (response.statusCode() != HTTP_OK) {
            fail(
                    response.statusCode() == HTTP_NOT_FOUND && reopenings > 0
                            ? "engine no longer knows the generation"
                            : "engine answered with status " + response.statusCode());
            return;
        }
        current = response;
        ServerSentEvents events = new ServerSentEvents(this::data);
        response.exceptionHandler(failure -> broken(response, "engine closed the connection"));
        response.endHandler(ignored -> broken(response, "engine ended the stream early"));
        // A line beyond the reader's limit throws; on the event loop nobody would hear of it.
        response.handler(chunk -> Try.run(() -> events.handle(chunk)).onFailure(failure -> malformed()));
        if (paused) {
            response.pause();
        }
    }

    private void data(String data) {
        if (ended) {
            return;
        }
        if (END_OF_STREAM.equals(data)) {
            end();
            return;
        }
        Try<EngineEvent> event = Try.of(() -> EngineEvent.parse(new JsonObject(data)));
        if (event.isFailure()) {
            malformed();
            return;
        }
        event.forEach(this::take);
    }

    private void take(EngineEvent event) {
        if (!event.text().isEmpty()) {
            tokens++;
            listener.token(event.text());
        }
        String finish = event.finishReason();
        if (finish != null) {
            finishSeen = true;
            reason = FinishReason.ofWireName(finish);
        }
    }

    private void end() {
        if (!finishSeen) {
            broken("engine ended the stream without a finish reason");
            return;
        }
        ended = true;
        current = null;
        listener.finished(reason);
    }

    private void broken(HttpClientResponse response, String cause) {
        if (current == response) {
            broken(cause);
        }
    }

    private void broken(String cause) {
        if (ended) {
            return;
        }
        closeConnection();
        if (reopenings >= MOST_REOPENINGS) {
            fail(cause);
            return;
        }
        reopenings++;
        vertx.setTimer(REOPEN_PAUSE_MILLIS, ignored -> {
            if (!ended) {
                readFrom(client.reopen(identifier, tokens));
            }
        });
    }

    private void malformed() {
        if (!ended) {
            fail("engine sent a malformed event");
            client.cancel(identifier);
        }
    }

    private void fail(String cause) {
        ended = true;
        closeConnection();
        listener.failed(cause);
    }

    private void closeConnection() {
        HttpClientResponse response = current;
        current = null;
        if (response != null) {
            response.request().connection().close();
        }
    }
}
