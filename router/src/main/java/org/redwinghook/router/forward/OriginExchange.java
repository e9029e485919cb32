package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.OriginAnswer;
import org.redwinghook.core.message.OriginGroup;
import org.redwinghook.core.message.OriginQuestion;
import org.redwinghook.core.message.OriginReport;
import org.redwinghook.core.origin.ServiceVersion;
import org.redwinghook.core.origin.StreamOrigin;
import org.redwinghook.core.placement.ReportInterval;
import org.redwinghook.runtime.config.ConfigurationPeer;

/**
 * Exchanges the origins of streams with the connected routers: sends those of this router in batches, and asks for those
 * that this router does not know. Confined to one event loop.
 */
final class OriginExchange {

    /** Maximum number of origins in a message; with the longest identifiers it takes half a megabyte. */
    private static final int MAXIMUM_ORIGINS = 4_096;

    /** Longest wait for the answers of the connected routers, in milliseconds. */
    static final long MAXIMUM_ANSWER_MILLIS = 250;

    private final Vertx vertx;
    private final RouterExchange exchange;
    private final Finder finder;
    private final Consumer<StreamOrigin> receiver;
    private final Map<Long, Question> questions = new HashMap<>();
    private List<StreamOrigin> pending = new ArrayList<>();
    private List<StreamOrigin> pendingRelayed = new ArrayList<>();
    private boolean isSendingScheduled;
    private long lastQuestion;

    /** Finds the version at which a stream began among those that this router knows. */
    @FunctionalInterface
    interface Finder {

        /**
         * Finds a version.
         *
         * @param service name of the service
         * @param attempt identifier of the caller's attempt
         * @return the version, null if it is not known
         */
        @Nullable
        String find(String service, String attempt);
    }

    /** A question that is not answered yet. */
    private static final class Question {

        private final Promise<@Nullable String> answer = Promise.promise();
        private int missingAnswers;

        Question(int missingAnswers) {
            this.missingAnswers = missingAnswers;
        }
    }

    /**
     * Creates an exchange.
     *
     * @param vertx timers
     * @param exchange connections to the other routers
     * @param finder answers the questions of other routers
     * @param receiver receives the origins of other routers
     */
    OriginExchange(Vertx vertx, RouterExchange exchange, Finder finder, Consumer<StreamOrigin> receiver) {
        this.vertx = vertx;
        this.exchange = exchange;
        this.finder = finder;
        this.receiver = receiver;
        exchange.register(OriginReport.class, (peer, report) -> receive(report));
        exchange.register(OriginQuestion.class, this::answer);
        exchange.register(OriginAnswer.class, (peer, answer) -> handleAnswer(answer));
    }

    /**
     * Sends an origin to the connected routers, together with those that follow within the interval of reports.
     *
     * @param origin the origin
     */
    void share(StreamOrigin origin) {
        pending.add(origin);
        scheduleSending();
    }

    private void scheduleSending() {
        if (isSendingScheduled) {
            return;
        }
        isSendingScheduled = true;
        long batchMillis = ReportInterval.millis(exchange.connectedRouters().size());
        vertx.setTimer(batchMillis, ignored -> sendPending());
    }

    /**
     * Asks the connected routers at which version a stream began.
     *
     * @param service name of its service
     * @param attempt identifier of the caller's attempt
     * @return the version, null if no router that answers in time knows it
     */
    Future<@Nullable String> ask(String service, String attempt) {
        int routers = exchange.connectedRouters().size();
        if (routers == 0) {
            return Future.succeededFuture(null);
        }
        lastQuestion++;
        long number = lastQuestion;
        Question question = new Question(routers);
        questions.put(number, question);
        vertx.setTimer(MAXIMUM_ANSWER_MILLIS, ignored -> end(number, null));
        exchange.broadcast(new OriginQuestion(number, service, attempt));
        return question.answer.future();
    }

    private void sendPending() {
        isSendingScheduled = false;
        List<StreamOrigin> own = pending;
        List<StreamOrigin> relayed = pendingRelayed;
        pending = new ArrayList<>();
        pendingRelayed = new ArrayList<>();
        send(own, false);
        send(relayed, true);
    }

    private void send(List<StreamOrigin> sent, boolean relayed) {
        for (int from = 0; from < sent.size(); from += MAXIMUM_ORIGINS) {
            exchange.broadcast(toReport(sent.subList(from, Math.min(sent.size(), from + MAXIMUM_ORIGINS)), relayed));
        }
    }

    private static OriginReport toReport(List<StreamOrigin> origins, boolean relayed) {
        Map<ServiceVersion, List<String>> attempts = new LinkedHashMap<>();
        for (StreamOrigin origin : origins) {
            attempts.computeIfAbsent(origin.begunAt(), version -> new ArrayList<>())
                    .add(origin.attempt());
        }
        List<OriginGroup> groups = new ArrayList<>();
        attempts.forEach((version, identifiers) ->
                groups.add(new OriginGroup(version.service(), version.version(), identifiers)));
        return new OriginReport(groups, relayed);
    }

    private void receive(OriginReport report) {
        // In a large deployment a router is connected to few others. A report that is relayed once and the question to
        // the neighbours find most streams; relayed to all, it would reach each router over every connection.
        boolean isRelaying = !report.relayed() && !exchange.isFullyConnected();
        for (OriginGroup group : report.origins()) {
            ServiceVersion begunAt = new ServiceVersion(group.service(), group.version());
            for (String attempt : group.attempts()) {
                StreamOrigin origin = new StreamOrigin(attempt, begunAt);
                receiver.accept(origin);
                if (isRelaying) {
                    pendingRelayed.add(origin);
                    scheduleSending();
                }
            }
        }
    }

    private void answer(ConfigurationPeer peer, OriginQuestion question) {
        peer.send(new OriginAnswer(question.number(), finder.find(question.service(), question.attempt())));
    }

    private void handleAnswer(OriginAnswer answer) {
        Question question = questions.get(answer.number());
        if (question == null) {
            return;
        }
        question.missingAnswers--;
        if (answer.version() != null || question.missingAnswers <= 0) {
            end(answer.number(), answer.version());
        }
    }

    private void end(long number, @Nullable String version) {
        Question question = questions.remove(number);
        if (question != null) {
            question.answer.complete(version);
        }
    }
}
