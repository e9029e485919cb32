package org.redwinghook.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;

/** One generation: the tokens generated so far and the stream that they are sent to. */
final class Generation {

    /** Lower priority values first, then by order of arrival. */
    static final Comparator<Generation> SCHEDULING_ORDER =
            Comparator.comparingInt(Generation::priority).thenComparingLong(generation -> generation.arrival);

    private static final int CHARACTERS_PER_TOKEN = 4;

    private final String identifier;
    private final String prompt;
    private final int priority;
    private final long arrival;
    private final OutputPlan plan;
    private final List<String> texts = new ArrayList<>();
    private final String plannedFinishReason;
    private int targetTokens;
    private @Nullable String finishReason;
    private @Nullable HttpServerResponse stream;
    private int sentEvents;
    private int detachmentCount;

    Generation(String identifier, String prompt, OutputPlan plan, int maximumTokens, int priority, long arrival) {
        this.identifier = identifier;
        this.prompt = prompt;
        this.priority = priority;
        this.arrival = arrival;
        this.plan = plan;
        int naturalLength = plan.naturalLength();
        this.targetTokens = Math.min(naturalLength, maximumTokens);
        this.plannedFinishReason = naturalLength > maximumTokens ? "length" : "stop";
    }

    String identifier() {
        return identifier;
    }

    String prompt() {
        return prompt;
    }

    int priority() {
        return priority;
    }

    int promptTokens() {
        return Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN);
    }

    int outputTokens() {
        return texts.size();
    }

    int memoryTokens() {
        return promptTokens() + texts.size();
    }

    boolean isFinished() {
        return finishReason != null;
    }

    int detachmentCount() {
        return detachmentCount;
    }

    boolean hasStream() {
        return stream != null;
    }

    /** Generates the next token. */
    void generateToken() {
        int index = texts.size() + 1;
        texts.add(new GeneratedToken(plan.word(index), index, identifier).text());
        if (index == targetTokens) {
            finishReason = plannedFinishReason;
        }
    }

    /** Finishes an output that fills the whole memory and cannot grow further. */
    void finishOutOfMemory() {
        targetTokens = texts.size();
        finishReason = "length";
    }

    /** Replaces the current stream, if any, and continues after the given event. */
    void attachStream(HttpServerResponse response, int lastReceivedEvent) {
        HttpServerResponse previous = stream;
        stream = response;
        sentEvents = lastReceivedEvent;
        if (previous != null) {
            previous.reset();
        }
    }

    /** Detaches a closed response; returns false if it is no longer the current stream. */
    boolean detachStream(HttpServerResponse response) {
        if (stream != response) {
            return false;
        }
        stream = null;
        detachmentCount++;
        return true;
    }

    /** Aborts the stream without the final event and the end marker. */
    void abortStream() {
        if (stream != null) {
            stream.reset();
        }
    }

    /** Counts the next event as sent and returns its number; 0 if there is no new event or no stream. */
    int takeNextEventNumber() {
        if (stream == null || sentEvents >= texts.size()) {
            return 0;
        }
        return ++sentEvents;
    }

    void write(String text) {
        if (stream != null) {
            stream.write(text);
        }
    }

    void endStreamIfComplete() {
        if (stream != null && isFinished() && sentEvents >= texts.size()) {
            HttpServerResponse completed = stream;
            stream = null;
            completed.write(finalEvent());
            completed.end("data: [DONE]\n\n");
        }
    }

    String tokenEvent(int number) {
        return "id: " + number + "\ndata: "
                + createChunk(texts.get(number - 1), null).encode() + "\n\n";
    }

    /** Event after the last token, separate so that a stream resumed after that token still has the finish reason. */
    private String finalEvent() {
        JsonObject usage = new JsonObject().put("prompt_tokens", promptTokens()).put("completion_tokens", texts.size());
        return "data: " + createChunk("", finishReason).put("usage", usage).encode() + "\n\n";
    }

    private JsonObject createChunk(String text, @Nullable String finishReasonOrNull) {
        JsonObject choice = new JsonObject().put("index", 0).put("text", text).put("finish_reason", finishReasonOrNull);
        return new JsonObject().put("id", identifier).put("choices", new JsonArray().add(choice));
    }
}
