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

    private static final String OUTCOME_HEADER = "Redwinghook-Outcome";
    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(15);
    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int MAXIMUM_RECONNECTIONS = 40;
    private static final long RECONNECT_DELAY_MILLIS = 50;
    private static final Pattern WORD = Pattern.compile("[^ ]+ ");

    private final History history;
    private final List<Vm> routers;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Set<String> runningRequests = ConcurrentHashMap.newKeySet();

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
    public List<String> runningRequests() {
        return List.copyOf(runningRequests);
    }

    /**
     * Requests a generation; a broken stream is continued through the other routers.
     *
     * @param request name of the request, sent as the prompt
     * @param maximumTokens length of the output
     * @param isStreamed whether the tokens are streamed
     * @param router number of the first router
     * @return how it ended
     */
    public RequestOutcome generate(String request, int maximumTokens, boolean isStreamed, int router) {
        String body = new JsonObject()
                .put("model", Deployment.MODEL)
                .put("prompt", request)
                .put("max_tokens", maximumTokens)
                .put("stream", isStreamed)
                .encode();
        return runTracked(request, () -> {
            history.add(new Event.RequestSent(Deployment.nowMillis(), request, null, true));
            HttpRequest httpRequest =
                    createPost(router, "/v1/completions", body).build();
            HttpResponse<InputStream> response = client.send(httpRequest, HttpResponse.BodyHandlers.ofInputStream());
            RequestOutcome refusal = findRefusal(request, response);
            if (refusal != null) {
                return refusal;
            }
            return isStreamed ? followStream(request, body, router, response) : readCompleteAnswer(request, response);
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
    public RequestOutcome order(String request, String operation, @Nullable String key, int router) {
        String body = new JsonObject().put("request", operation).encode();
        return runTracked(request, () -> {
            history.add(new Event.RequestSent(Deployment.nowMillis(), request, key, false));
            HttpRequest.Builder httpRequest =
                    createPost(router, "/services/" + Deployment.PLAIN_SERVICE + "/orders", body);
            return sendCall(request, operation, key == null ? httpRequest : httpRequest.header("Idempotency-Key", key));
        });
    }

    /**
     * Looks something up.
     *
     * @param request name of the request
     * @param router number of the router
     * @return how it ended
     */
    public RequestOutcome lookUp(String request, int router) {
        return runTracked(request, () -> {
            history.add(new Event.RequestSent(Deployment.nowMillis(), request, null, true));
            String path = "/services/" + Deployment.PLAIN_SERVICE + "/stock?request=" + request;
            return sendCall(request, request, createRequest(router, path));
        });
    }

    private RequestOutcome runTracked(String request, Action action) {
        runningRequests.add(request);
        try {
            return action.run();
        } catch (ConnectException exception) {
            return RequestOutcome.NOT_SENT;
        } catch (IOException exception) {
            history.add(new Event.OutcomeUnknown(Deployment.nowMillis(), request));
            return RequestOutcome.UNKNOWN;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return RequestOutcome.UNKNOWN;
        } finally {
            runningRequests.remove(request);
        }
    }

    private HttpRequest.Builder createPost(int router, String path, String body) {
        return createRequest(router, path)
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofString(body));
    }

    private HttpRequest.Builder createRequest(int router, String path) {
        Vm vm = routers.get(Math.floorMod(router, routers.size()));
        return HttpRequest.newBuilder(URI.create("http://" + vm.callerAddress() + path))
                .timeout(HEADER_TIMEOUT)
                .header("Authorization", "Bearer " + Deployment.CREDENTIAL);
    }

    private @Nullable RequestOutcome findRefusal(String request, HttpResponse<?> response) {
        return switch (response.headers().firstValue(OUTCOME_HEADER).orElse("missing")) {
            // Only [DONE] decides whether a stream is whole; its header must not say so in advance.
            case "done", "streaming" -> null;
            case "not-run" -> {
                history.add(new Event.RequestRefused(Deployment.nowMillis(), request));
                yield RequestOutcome.NOT_RUN;
            }
            case "unknown" -> {
                history.add(new Event.OutcomeUnknown(Deployment.nowMillis(), request));
                yield RequestOutcome.UNKNOWN;
            }
            default -> throw new IllegalStateException(request + " was answered without a known outcome");
        };
    }

    private RequestOutcome sendCall(String request, String operation, HttpRequest.Builder httpRequest)
            throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(httpRequest.build(), HttpResponse.BodyHandlers.ofString());
        RequestOutcome refusal = findRefusal(request, response);
        if (refusal != null) {
            return refusal;
        }
        String echoedRequest = new JsonObject(response.body()).getString("request", "");
        // Attempts under one key share their operation, so an attempt is answered rightly by the echo of the operation.
        history.add(new Event.CallAnswered(Deployment.nowMillis(), operation, echoedRequest));
        return RequestOutcome.COMPLETED;
    }

    private RequestOutcome readCompleteAnswer(String request, HttpResponse<InputStream> response) throws IOException {
        JsonObject answer = new JsonObject(new String(response.body().readAllBytes(), StandardCharsets.UTF_8));
        String text = answer.getJsonArray("choices").getJsonObject(0).getString("text");
        List<String> words =
                WORD.matcher(text).results().map(result -> result.group()).toList();
        for (int index = 0; index < words.size(); index++) {
            recordToken(request, answer.getString("id"), index + 1, words.get(index));
        }
        history.add(new Event.AnswerCompleted(
                Deployment.nowMillis(), request, answer.getJsonObject("usage").getLong("completion_tokens")));
        return RequestOutcome.COMPLETED;
    }

    private RequestOutcome followStream(
            String request, String body, int router, HttpResponse<InputStream> firstResponse)
            throws InterruptedException, IOException {
        EventStream stream = new EventStream(request);
        RequestOutcome outcome = stream.readEvents(firstResponse.body());
        for (int attempt = 1; outcome == RequestOutcome.DISCONNECTED && attempt <= MAXIMUM_RECONNECTIONS; attempt++) {
            String lastEventId = stream.lastEventId;
            if (lastEventId == null) {
                throw new IOException("the stream broke before its first token");
            }
            Thread.sleep(RECONNECT_DELAY_MILLIS);
            outcome = reconnect(
                    stream,
                    createPost(router + attempt, "/v1/completions", body)
                            .header("Last-Event-ID", lastEventId)
                            .build());
        }
        if (outcome != RequestOutcome.COMPLETED) {
            history.add(new Event.AnswerInterrupted(Deployment.nowMillis(), request));
        }
        return outcome;
    }

    private RequestOutcome reconnect(EventStream stream, HttpRequest httpRequest) throws InterruptedException {
        try {
            HttpResponse<InputStream> response = client.send(httpRequest, HttpResponse.BodyHandlers.ofInputStream());
            if (response.statusCode() == HTTP_OK) {
                return stream.readEvents(response.body());
            }
            return response.statusCode() == HTTP_NOT_FOUND ? RequestOutcome.INTERRUPTED : RequestOutcome.DISCONNECTED;
        } catch (IOException exception) {
            return RequestOutcome.DISCONNECTED;
        }
    }

    private void recordToken(String request, String generation, long sequence, String text) {
        String tokenIdentity = GeneratedToken.parse(text)
                .map(word -> word.generation() + "/" + word.index())
                .orElse("unreadable " + text);
        history.add(new Event.TokenReceived(Deployment.nowMillis(), request, generation, sequence, tokenIdentity));
    }

    /** How a request ended for its caller. */
    public enum RequestOutcome {
        /** The whole answer arrived. */
        COMPLETED,
        /** The answer was marked as interrupted, or its generation is not known any more. */
        INTERRUPTED,
        /** The connection broke and no router continued the answer. */
        DISCONNECTED,
        /** The request was refused and did not run. */
        NOT_RUN,
        /** Nobody knows whether the request ran. */
        UNKNOWN,
        /** No connection could be made. */
        NOT_SENT
    }

    @FunctionalInterface
    private interface Action {
        RequestOutcome run() throws IOException, InterruptedException;
    }

    /** Reads server-sent events, over several connections if need be. */
    private final class EventStream {

        private final String request;
        private @Nullable String lastEventId;
        private long reportedTokens = -1;

        EventStream(String request) {
            this.request = request;
        }

        RequestOutcome readEvents(InputStream body) {
            String eventId = null;
            boolean isError = false;
            try (BufferedReader reader = new BufferedReader(new InputStreamReader(body, StandardCharsets.UTF_8))) {
                for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                    if (line.startsWith("id: ")) {
                        eventId = line.substring("id: ".length());
                    } else if (line.equals("event: error")) {
                        isError = true;
                    } else if (line.equals("data: [DONE]")) {
                        history.add(new Event.AnswerCompleted(Deployment.nowMillis(), request, reportedTokens));
                        return RequestOutcome.COMPLETED;
                    } else if (line.startsWith("data: ") && isError) {
                        return RequestOutcome.INTERRUPTED;
                    } else if (line.startsWith("data: ")) {
                        handleEvent(eventId, new JsonObject(line.substring("data: ".length())));
                    } else if (line.isEmpty()) {
                        eventId = null;
                    }
                }
            } catch (IOException exception) {
                return RequestOutcome.DISCONNECTED;
            }
            return RequestOutcome.DISCONNECTED;
        }

        private void handleEvent(@Nullable String eventId, JsonObject event) {
            JsonObject choice = event.getJsonArray("choices").getJsonObject(0);
            if (choice.getString("finish_reason") != null) {
                reportedTokens = event.getJsonObject("usage").getLong("completion_tokens");
            }
            String text = choice.getString("text", "");
            if (text.isEmpty() || eventId == null) {
                return;
            }
            lastEventId = eventId;
            int dot = eventId.lastIndexOf('.');
            recordToken(request, eventId.substring(0, dot), Long.parseLong(eventId.substring(dot + 1)), text);
        }
    }
}
