package org.redwinghook.runtime.http;

import java.util.function.Consumer;

import io.vertx.core.http.HttpClientRequest;

/** Limits the interim responses to a request, which may come without end in place of a response. */
public final class InterimResponses {

    /** Maximum number of interim responses to a request. */
    private static final int MAXIMUM_RESPONSES = 64;

    private final HttpClientRequest request;
    private final Consumer<Throwable> onExcess;
    private int received;

    private InterimResponses(HttpClientRequest request, Consumer<Throwable> onExcess) {
        this.request = request;
        this.onExcess = onExcess;
    }

    /**
     * Closes the connection of a request that receives too many interim responses.
     *
     * @param request the request, not yet sent
     * @param onExcess receives the failure before the connection is closed
     */
    public static void limit(HttpClientRequest request, Consumer<Throwable> onExcess) {
        InterimResponses responses = new InterimResponses(request, onExcess);
        request.continueHandler(ignored -> responses.record());
        request.earlyHintsHandler(ignored -> responses.record());
    }

    private void record() {
        received++;
        if (received == MAXIMUM_RESPONSES + 1) {
            onExcess.accept(new IllegalStateException("more than " + MAXIMUM_RESPONSES + " interim responses"));
            request.connection().close();
        }
    }
}
