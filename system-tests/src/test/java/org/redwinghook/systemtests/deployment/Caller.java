package org.redwinghook.systemtests.deployment;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.net.ConnectException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.regex.Pattern;

import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.standins.engine.GeneratedToken;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.History;

/** A caller that records what it sent and what it was told. Methods block until the answer is known. */
public final class Caller {

    private static final String OUTCOME = "Redwinghook-Outcome";
    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(15);
    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int RECONNECTIONS = 40;
    private static final long PAUSE_MILLIS = 50;
    private static final Pattern WORD = Pattern.compile("[^ ]+ ");

    private final History history;
    private final List<Vm> routers;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Set<String> running = ConcurrentHashMap.newKeySet();

    /**
     * Creates a caller.
     *
     * @param history where it records
     * @param routers entry VMs
     */
    public Caller(History history, List<Vm> routers) {
        this.history = history;
        this.routers = List.copyOf(routers);
    }

    /**
     * Requests without an answer so far.
     *
     * @return their names
     */
    public List<String> running() {
        return List.copyOf(running);
    }

    /**
     * Requests a generation; a broken stream is continued through the other routers.
     *
     * @param request name of the request, sent as the prompt
     * @param tokens length of the output
     * @param streamed whether the tokens are streamed
     * @param router number of the first router
     * @return how it ended
     */
    public Ending generation(String request, int tokens, boolean streamed, int router) {
        String body = new JsonObject()
                .put("model", Deployment.MODEL)
                .put("prompt", request)
                .put("max_tokens", tokens)
                .put("stream", streamed)
                .encode();
        return tracked(request, () -> {
            history.add(new Event.RequestSent(Deployment.now(), request, null, true));
            HttpRequest sent = post(router, "/v1/completions", body).build();
            HttpResponse<InputStream> response = client.send(sent, HttpResponse.BodyHandlers.ofInputStream());
            Ending refusal = refusal(request, response);
            if (refusal != null) {
                return refusal;
            }
            return streamed ? follow(request, body, router, response) : whole(request, response);
        });
    }

    /**
     * Orders something, which must not run twice.
     *
     * @param request name of the attempt
     * @param operation what is ordered; the same for all attempts under one key
     * @param key idempotency key, null for none
     * @param router number of the router
     * @return how it ended
     */
    public Ending order(String request, String operation, @Nullable String key, int router) {
        String body = new JsonObject().put("request", operation).encode();
        return tracked(request, () -> {
            history.add(new Event.RequestSent(Deployment.now(), request, key, false));
            HttpRequest.Builder sent = post(router, "/services/" + Deployment.PLAIN_SERVICE + "/orders", body);
            return call(request, operation, key == null ? sent : sent.header("Idempotency-Key", key));
        });
    }

    /**
     * Looks something up.
     *
     * @param request name of the request
     * @param router number of the router
     * @return how it ended
     */
    public Ending lookup(String request, int router) {
        return tracked(request, () -> {
            history.add(new Event.RequestSent(Deployment.now(), request, null, true));
            String path = "/services/" + Deployment.PLAIN_SERVICE + "/stock?request=" + request;
            return call(request, request, request(router, path));
        });
    }

    private Ending tracked(String request, Action action) {
        running.add(request);
        try {
            return action.run();
        } catch (ConnectException exception) {
            return Ending.NOT_SENT;
        } catch (IOException exception) {
            history.add(new Event.OutcomeUnknown(Deployment.now(), request));
            return Ending.UNKNOWN;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return Ending.UNKNOWN;
        } finally {
            running.remove(request);
        }
    }

    private HttpRequest.Builder post(int router, String path, String body) {
        return request(router, path)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private HttpRequest.Builder request(int router, String path) {
        Vm vm = routers.get(Math.floorMod(router, routers.size()));
        return HttpRequest.newBuilder(URI.create("http://" + vm.caller() + path))
                .timeout(HEADER_TIMEOUT)
                .header("Authorization", "Bearer " + Deployment.CREDENTIAL);
    }

    private @Nullable Ending refusal(String request, HttpResponse<?> response) {
        return switch (response.headers().firstValue(OUTCOME).orElse("missing")) {
            // Only [DONE] decides whether a stream is whole; its header must not say so in advance.
            case "done", "streaming" -> null;
            case "not-run" -> {
                history.add(new Event.RefusedNotRun(Deployment.now(), request));
                yield Ending.NOT_RUN;
            }
            case "unknown" -> {
                history.add(new Event.OutcomeUnknown(Deployment.now(), request));
                yield Ending.UNKNOWN;
            }
            default -> throw new IllegalStateException(request + " was answered without a known outcome");
        };
    }

    private Ending call(String request, String operation, HttpRequest.Builder sent)
            throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(sent.build(), HttpResponse.BodyHandlers.ofString());
        Ending refusal = refusal(request, response);
        if (refusal != null) {
            return refusal;
        }
        String echo = new JsonObject(response.body()).getString("request", "");
        // Attempts under one key share their operation, so an attempt is answered rightly by the echo of the operation.
        history.add(new Event.CallAnswered(Deployment.now(), operation, echo));
        return Ending.WHOLE;
    }

    private Ending whole(String request, HttpResponse<InputStream> response) throws IOException {
        JsonObject answer = new JsonObject(new String(response.body().readAllBytes(), StandardCharsets.UTF_8));
        String text = answer.getJsonArray("choices").getJsonObject(0).getString("text");
        List<String> words =
                WORD.matcher(text).results().map(result -> result.group()).toList();
        for (int index = 0; index < words.size(); index++) {
            token(request, answer.getString("id"), index + 1, words.get(index));
        }
        history.add(new Event.AnswerWhole(
                Deployment.now(), request, answer.getJsonObject("usage").getLong("completion_tokens")));
        return Ending.WHOLE;
    }

    private Ending follow(String request, String body, int router, HttpResponse<InputStream> first)
            throws InterruptedException, IOException {
        Stream stream = new Stream(request);
        Ending ending = stream.read(first.body());
        for (int attempt = 1; ending == Ending.BROKEN && attempt <= RECONNECTIONS; attempt++) {
            String last = stream.lastEvent;
            if (last == null) {
                throw new IOException("the stream broke before its first token");
            }
            Thread.sleep(PAUSE_MILLIS);
            ending = reconnect(
                    stream,
                    post(router + attempt, "/v1/completions", body)
                            .header("Last-Event-ID", last)
                            .build());
        }
        if (ending != Ending.WHOLE) {
            history.add(new Event.AnswerCut(Deployment.now(), request));
        }
        return ending;
    }

    private Ending reconnect(Stream stream, HttpRequest sent) throws InterruptedException {
        try {
            HttpResponse<InputStream> response = client.send(sent, HttpResponse.BodyHandlers.ofInputStream());
            if (response.statusCode() == HTTP_OK) {
                return stream.read(response.body());
            }
            return response.statusCode() == HTTP_NOT_FOUND ? Ending.INTERRUPTED : Ending.BROKEN;
        } catch (IOException exception) {
            return Ending.BROKEN;
        }
    }

    private void token(String request, String generation, long sequence, String text) {
        String identity = GeneratedToken.parse(text)
                .map(word -> word.generation() + "/" + word.index())
                .orElse("unreadable " + text);
        history.add(new Event.TokenReceived(Deployment.now(), request, generation, sequence, identity));
    }

    /** How a request ended for its caller. */
    public enum Ending {
        /** The whole answer arrived. */
        WHOLE,
        /** The answer was marked as interrupted, or its generation is not known any more. */
        INTERRUPTED,
        /** The connection broke and no router continued the answer. */
        BROKEN,
        /** The request was refused and did not run. */
        NOT_RUN,
        /** Nobody knows whether the request ran. */
        UNKNOWN,
        /** No connection could be made. */
        NOT_SENT
    }

    @FunctionalInterface
    private interface Action {
        Ending run() throws IOException, InterruptedException;
    }

    /** Reads server-sent events, over several connections if need be. */
    private final class Stream {

        private final String request;
        private @Nullable String lastEvent;
        private long usage = -1;

        Stream(String request) {
            this.request = request;
        }

        Ending read(InputStream body) {
            String identifier = null;
            boolean isError = false;
            try (BufferedReader reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    if (line.startsWith("id: ")) {
                        identifier = line.substring("id: ".length());
                    } else if (line.equals("event: error")) {
                        isError = true;
                    } else if (line.equals("data: [DONE]")) {
                        history.add(new Event.AnswerWhole(Deployment.now(), request, usage));
                        return Ending.WHOLE;
                    } else if (line.startsWith("data: ") && isError) {
                        return Ending.INTERRUPTED;
                    } else if (line.startsWith("data: ")) {
                        take(identifier, new JsonObject(line.substring("data: ".length())));
                    } else if (line.isEmpty()) {
                        identifier = null;
                    }
                }
            } catch (IOException exception) {
                return Ending.BROKEN;
            }
            return Ending.BROKEN;
        }

        private void take(@Nullable String identifier, JsonObject event) {
            JsonObject choice = event.getJsonArray("choices").getJsonObject(0);
            if (choice.getString("finish_reason") != null) {
                usage = event.getJsonObject("usage").getLong("completion_tokens");
            }
            String text = choice.getString("text", "");
            if (text.isEmpty() || identifier == null) {
                return;
            }
            lastEvent = identifier;
            int dot = identifier.lastIndexOf('.');
            token(request, identifier.substring(0, dot), Long.parseLong(identifier.substring(dot + 1)), text);
        }
    }
}
