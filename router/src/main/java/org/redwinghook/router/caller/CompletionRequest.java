package org.redwinghook.router.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;

/**
 * A caller's request for a completion.
 *
 * @param model model to use
 * @param prompt prompt text; for a chat, the messages one after the other
 * @param maximumTokens largest output wanted, 0 if the caller set none
 * @param stream whether tokens are wanted as they come
 */
public record CompletionRequest(String model, String prompt, int maximumTokens, boolean stream) {

    /**
     * Reads a request.
     *
     * @param body body of the HTTP request, null if there is none
     * @param format shape of the request
     * @return the request, or everything that is wrong with it
     */
    public static Either<List<String>, CompletionRequest> read(@Nullable Buffer body, CompletionFormat format) {
        JsonObject json;
        try {
            json = body == null ? new JsonObject() : new JsonObject(body);
        } catch (DecodeException | ClassCastException exception) {
            return Either.left(List.of("the body is not a JSON object"));
        }
        List<String> findings = new ArrayList<>();
        CompletionRequest request = new CompletionRequest(
                readText(json.getMap(), "model", "'model'", findings),
                format == CompletionFormat.CHAT
                        ? readMessages(json, findings)
                        : readText(json.getMap(), "prompt", "'prompt'", findings),
                maximumTokens(json.getValue("max_tokens"), findings),
                stream(json.getValue("stream"), findings));
        return findings.isEmpty() ? Either.right(request) : Either.left(findings);
    }

    private static String readText(Map<?, ?> map, String key, String name, List<String> findings) {
        Object value = map.get(key);
        if (value == null) {
            findings.add(name + " is missing");
            return "";
        }
        if (!(value instanceof String text)) {
            findings.add(name + " must be a string");
            return "";
        }
        if (text.isBlank()) {
            findings.add(name + " must not be empty");
        }
        return text;
    }

    private static String readMessages(JsonObject json, List<String> findings) {
        Object value = json.getMap().get("messages");
        if (!(value instanceof List<?> messages) || messages.isEmpty()) {
            findings.add("'messages' must be an array with at least one message");
            return "";
        }
        StringBuilder prompt = new StringBuilder();
        for (int index = 0; index < messages.size(); index++) {
            String name = "'messages[" + index + "]";
            if (!(messages.get(index) instanceof Map<?, ?> message)) {
                findings.add(name + "' must be an object");
                continue;
            }
            prompt.append(readText(message, "role", name + ".role'", findings))
                    .append(": ")
                    .append(readText(message, "content", name + ".content'", findings))
                    .append('\n');
        }
        return prompt.toString();
    }

    private static int maximumTokens(@Nullable Object value, List<String> findings) {
        if (value == null) {
            return 0;
        }
        if (value instanceof Integer number && number >= 1) {
            return number;
        }
        findings.add("'max_tokens' must be a whole number of at least 1");
        return 0;
    }

    private static boolean stream(@Nullable Object value, List<String> findings) {
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        findings.add("'stream' must be true or false");
        return false;
    }
}
