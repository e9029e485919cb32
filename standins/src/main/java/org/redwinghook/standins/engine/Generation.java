package org.redwinghook.standins.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;

/** One output: its tokens so far and the stream that takes them. */
final class Generation {

    /** Lower priorities first, then by arrival. */
    static final Comparator<Generation> ORDER =
            Comparator.comparingInt(Generation::priority).thenComparingLong(generation -> generation.arrival);

    private static final int CHARACTERS_PER_TOKEN = 4;

    private final String identifier;
    private final String prompt;
    private final int priority;
    private final long arrival;
    private final OutputPlan plan;
    private final List<String> texts = new ArrayList<>();
    private final String plannedReason;
    private int target;
    private @Nullable String finishReason;
    private @Nullable HttpServerResponse stream;
    private int sent;
    private int detachments;

    Generation(String identifier, String prompt, OutputPlan plan, int maximumTokens, int priority, long arrival) {
        this.identifier = identifier;
        this.prompt = prompt;
        this.priority = priority;
        this.arrival = arrival;
        this.plan = plan;
        int natural = plan.naturalLength();
        this.target = Math.min(natural, maximumTokens);
        this.plannedReason = natural > maximumTokens ? "length" : "stop";
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

    boolean finished() {
        return finishReason != null;
    }

    int detachments() {
        return detachments;
    }

    boolean attached() {
        return stream != null;
    }

    /** Makes the next token. */
    void advance() {
        int index = texts.size() + 1;
        texts.add(new GeneratedWord(plan.word(index), index, identifier).text());
        if (index == target) {
            finishReason = plannedReason;
        }
    }

    /** Ends an output that can never grow further because it fills the whole memory. */
    void finishForLackOfMemory() {
        target = texts.size();
        finishReason = "length";
    }

    void attach(HttpServerResponse response, int after) {
        HttpServerResponse former = stream;
        stream = response;
        sent = after;
        if (former != null) {
            former.reset();
        }
    }

    /** Notes that a response was closed; false if it is not the stream any more. */
    boolean detach(HttpServerResponse response) {
        if (stream != response) {
            return false;
        }
        stream = null;
        detachments++;
        return true;
    }

    /** Ends the stream without the marks of a whole output. */
    void cut() {
        if (stream != null) {
            stream.reset();
        }
    }

    /** Number of the next event to send, 0 if there is none or nobody to send it to. */
    int nextEvent() {
        if (stream == null || sent >= texts.size()) {
            return 0;
        }
        return ++sent;
    }

    void write(String text) {
        if (stream != null) {
            stream.write(text);
        }
    }

    void endIfWhole() {
        if (stream != null && finished() && sent >= texts.size()) {
            HttpServerResponse whole = stream;
            stream = null;
            whole.write(lastEvent());
            whole.end("data: [DONE]\n\n");
        }
    }

    String event(int number) {
        return "id: " + number + "\ndata: " + chunk(texts.get(number - 1), null).encode() + "\n\n";
    }

    /** Event after the last token, so that a stream resumed after it still tells the finish reason. */
    private String lastEvent() {
        JsonObject usage = new JsonObject().put("prompt_tokens", promptTokens()).put("completion_tokens", texts.size());
        return "data: " + chunk("", finishReason).put("usage", usage).encode() + "\n\n";
    }

    private JsonObject chunk(String text, @Nullable String reason) {
        JsonObject choice = new JsonObject().put("index", 0).put("text", text).put("finish_reason", reason);
        return new JsonObject().put("id", identifier).put("choices", new JsonArray().add(choice));
    }
}
