package org.redwinghook.experiments.policy;

import java.util.HashSet;
import java.util.Set;

/** State of one request in a replay. */
final class RequestRun {

    /** Stands for a time that is not known yet. */
    static final long NO_TIME = -1;

    private final TraceRequest request;
    private final Set<String> triedVms = new HashSet<>();
    private int attempts;
    private int generatedTokens;
    private int prefillTokens;
    private long firstTokenMicros = NO_TIME;
    private long lastTokenMicros = NO_TIME;
    private boolean isEnded;

    RequestRun(TraceRequest request) {
        this.request = request;
    }

    TraceRequest request() {
        return request;
    }

    Set<String> triedVms() {
        return triedVms;
    }

    int attempts() {
        return attempts;
    }

    void recordAttempt(String vm) {
        attempts++;
        triedVms.add(vm);
    }

    int generatedTokens() {
        return generatedTokens;
    }

    /** Tokens that the request occupies in the engine's memory. */
    int memoryTokens() {
        return request.promptTokens() + generatedTokens;
    }

    int prefillTokens() {
        return prefillTokens;
    }

    void setPrefillTokens(int tokens) {
        prefillTokens = tokens;
    }

    void recordToken(long nowMicros) {
        generatedTokens++;
        lastTokenMicros = nowMicros;
        if (firstTokenMicros == NO_TIME) {
            firstTokenMicros = nowMicros;
        }
    }

    /** Time of the first token or of a lookup's response; {@link #NO_TIME} before. */
    long firstTokenMicros() {
        return firstTokenMicros;
    }

    long lastTokenMicros() {
        return lastTokenMicros;
    }

    boolean isComplete() {
        return generatedTokens >= Math.max(1, request.outputTokens());
    }

    boolean isEnded() {
        return isEnded;
    }

    void end() {
        isEnded = true;
    }

    long deadlineMicros() {
        return request.arrivalMicros() + request.kind().timeoutMillis() * 1_000;
    }
}
