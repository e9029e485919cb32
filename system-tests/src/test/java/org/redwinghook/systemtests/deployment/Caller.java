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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** A caller that records its requests and their outcomes. Methods block until the outcome is known. */
public final class Caller {

    private static final Logger LOGGER = LoggerFactory.getLogger(Caller.class);
    private static final String OUTCOME_HEADER = "Redwinghook-Outcome";
    private static final Duration HEADER_TIMEOUT = Duration.ofSeconds(15);
    private static final int HTTP_OK = 200;
    private static final int HTTP_NOT_FOUND = 404;
    private static final int HTTP_TOO_MANY_REQUESTS = 429;
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
     * @param history history to which the caller adds its observations
     * @param routers VMs of the routers
     */
    public Caller(History history, List<Vm> routers) {
        this.history = history;
        this.routers = List.copyOf(routers);
    }

    /**
     * Returns the requests that have no outcome yet.
     *
     * @return names of the requests
     */
    public List<String> runningRequests() {
        return List.copyOf(runningRequests);
    }

    /**
     * Requests a generation; if its stream breaks, resumes it through the routers in turn.
     *
     * @param request name of the request, sent as the prompt
     * @param maximumTokens maximum number of tokens of the output
     * @param isStreamed whether the tokens are streamed
     * @param router index of the first router, modulo the number of routers
     * @return the outcome
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
     * Sends an order, a non-idempotent call.
     *
     * @param request name of the attempt
     * @param operation name of the order, the same for all attempts under one key
     * @param key idempotency key, null for none
     * @param router index of the router, modulo the number of routers
     * @return the outcome
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
     * Sends a lookup, an idempotent call.
     *
     * @param request name of the request
     * @param router index of the router, modulo the number of routers
     * @return the outcome
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
            // Only [DONE] marks a stream as complete; the outcome header is sent before that is known.
            case "done", "streaming" -> null;
            case "not-run" -> {
                history.add(new Event.RequestRefused(Deployment.nowMillis(), request));
                yield response.statusCode() == HTTP_TOO_MANY_REQUESTS
                        ? RequestOutcome.RATE_LIMITED
                        : RequestOutcome.NOT_RUN;
            }
            case "unknown" -> {
                history.add(new Event.OutcomeUnknown(Deployment.nowMillis(), request));
                yield RequestOutcome.UNKNOWN;
            }
            default -> throw new IllegalStateException(request + " was answered with a missing or unknown outcome");
        };
    }

    private RequestOutcome sendCall(String request, String operation, HttpRequest.Builder httpRequest)
            throws IOException, InterruptedException {
        HttpResponse<String> response = client.send(httpRequest.build(), HttpResponse.BodyHandlers.ofString());
        RequestOutcome refusal = findRefusal(request, response);
        if (refusal != null) {
            LOGGER.info(
                    "call not completed request={} outcome={} status={} body={}",
                    request,
                    refusal,
                    response.statusCode(),
                    response.body());
            return refusal;
        }
        String echoedRequest = new JsonObject(response.body()).getString("request", "");
        // Attempts under one key share the operation, so the correct answer to an attempt echoes the operation.
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
                .orElse("unparsable " + text);
        history.add(new Event.TokenReceived(Deployment.nowMillis(), request, generation, sequence, tokenIdentity));
    }

    /** Outcome of a request as its caller sees it. */
    public enum RequestOutcome {
        /** The complete answer was received. */
        COMPLETED,
        /** The answer was marked as interrupted, or its generation is no longer known. */
        INTERRUPTED,
        /** The connection broke and no router resumed the answer. */
        DISCONNECTED,
        /** The request was refused and did not run. */
        NOT_RUN,
        /** The request was refused because of the customer's limit and did not run. */
        RATE_LIMITED,
        /** The request may have run. */
        UNKNOWN,
        /** No connection could be opened. */
        NOT_SENT
    }

    @FunctionalInterface
    private interface Action {
        RequestOutcome run() throws IOException, InterruptedException;
    }

    /** Reads the server-sent events of one answer, over several connections if it is resumed. */
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
