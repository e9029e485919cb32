package org.redwinghook.experiments.policy;

import java.util.HashSet;
import java.util.Set;

/** Progress of one request in a replay. */
final class RequestRun {

    static final long NONE = -1;

    private final TracedRequest request;
    private final Set<String> tried = new HashSet<>();
    private int attempts;
    private int generated;
    private int prefillTokens;
    private long firstTokenMicros = NONE;
    private long lastTokenMicros = NONE;
    private boolean ended;

    RequestRun(TracedRequest request) {
        this.request = request;
    }

    TracedRequest request() {
        return request;
    }

    Set<String> tried() {
        return tried;
    }

    int attempts() {
        return attempts;
    }

    void countAttempt(String vm) {
        attempts++;
        tried.add(vm);
    }

    int generated() {
        return generated;
    }

    /** Tokens that the request occupies in the engine's memory. */
    int memoryTokens() {
        return request.promptTokens() + generated;
    }

    int prefillTokens() {
        return prefillTokens;
    }

    void setPrefillTokens(int tokens) {
        prefillTokens = tokens;
    }

    void token(long nowMicros) {
        generated++;
        lastTokenMicros = nowMicros;
        if (firstTokenMicros == NONE) {
            firstTokenMicros = nowMicros;
        }
    }

    /** Time of the first token, or of a lookup's answer. */
    long firstTokenMicros() {
        return firstTokenMicros;
    }

    long lastTokenMicros() {
        return lastTokenMicros;
    }

    boolean complete() {
        return generated >= Math.max(1, request.outputTokens());
    }

    boolean ended() {
        return ended;
    }

    void end() {
        ended = true;
    }

    long deadlineMicros() {
        return request.arrivalMicros() + request.kind().timeoutMillis() * 1_000;
    }
}
