package org.redwinghook.router.caller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import io.vavr.control.Either;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.runtime.json.UntrustedJson;

/**
 * Request of a caller for a completion.
 *
 * @param model name of the model
 * @param prompt text of the prompt; for a chat, the concatenated messages
 * @param maximumTokens maximum number of output tokens, 0 if the caller set none
 * @param stream whether the tokens are streamed
 */
public record CompletionRequest(String model, String prompt, int maximumTokens, boolean stream) {

    /**
     * Parses a request.
     *
     * @param body body of the HTTP request, null if there is none
     * @param format format of the request
     * @return the request, or descriptions of all errors in it
     */
    public static Either<List<String>, CompletionRequest> read(@Nullable Buffer body, CompletionFormat format) {
        JsonObject json;
        try {
            json = body == null ? new JsonObject() : UntrustedJson.parseObject(body);
        } catch (DecodeException exception) {
            return Either.left(List.of("the body is not a JSON object"));
        }
        List<String> findings = new ArrayList<>();
        CompletionRequest request = new CompletionRequest(
                readText(json.getMap(), "model", "'model'", findings),
                format == CompletionFormat.CHAT
                        ? readMessages(json, findings)
                        : readText(json.getMap(), "prompt", "'prompt'", findings),
                readMaximumTokens(json.getValue("max_tokens"), findings),
                readStream(json.getValue("stream"), findings));
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

    private static int readMaximumTokens(@Nullable Object value, List<String> findings) {
        if (value == null) {
            return 0;
        }
        if (value instanceof Integer number && number >= 1) {
            return number;
        }
        findings.add("'max_tokens' must be a whole number of at least 1");
        return 0;
    }

    private static boolean readStream(@Nullable Object value, List<String> findings) {
        if (value == null || value instanceof Boolean) {
            return Boolean.TRUE.equals(value);
        }
        findings.add("'stream' must be true or false");
        return false;
    }
}
