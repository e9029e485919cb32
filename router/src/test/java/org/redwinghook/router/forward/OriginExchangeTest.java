package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.OriginAnswer;
import org.redwinghook.core.message.OriginGroup;
import org.redwinghook.core.message.OriginQuestion;
import org.redwinghook.core.message.OriginReport;
import org.redwinghook.core.origin.ServiceVersion;
import org.redwinghook.core.origin.StreamOrigin;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.quarantine.PromptQuarantine;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.runtime.config.ConfigurationPeer;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Guards what routers tell each other about the software versions at which streams began. */
public class OriginExchangeTest {

    private static final ServiceVersion OLD = new ServiceVersion("models", "v1");
    private static final long TIMEOUT_SECONDS = 5;

    private final Vertx vertx = Vertx.vertx();

    /** A connected router: knows some streams, and may leave questions unanswered. */
    private final class Peer implements ConfigurationPeer {

        private final String name;
        private final RouterExchange connections;
        private final @Nullable String version;
        private final boolean isSilent;
        private final List<Message> received = new CopyOnWriteArrayList<>();

        Peer(String name, Asker asker, @Nullable String version, boolean isSilent) {
            this.name = name;
            this.connections = asker.connections;
            this.version = version;
            this.isSilent = isSilent;
            connections.handleConnected(this);
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void send(Message message) {
            received.add(message);
            if (message instanceof OriginQuestion question && !isSilent) {
                vertx.runOnContext(
                        ignored -> connections.handleMessage(this, new OriginAnswer(question.number(), version)));
            }
        }
    }

    /** The router under test, on an event loop of its own. */
    private final class Asker {

        private final List<StreamOrigin> received = new ArrayList<>();
        private final RouterExchange connections;
        private final OriginExchange origins;

        Asker() {
            MonotonicClock clock = MonotonicClock.system();
            RecordDecoder decoder = new RecordDecoder() {
                @Override
                public Optional<OperatorRecord> decodeOperatorRecord(VersionedRecord record) {
                    return Optional.empty();
                }

                @Override
                public Optional<EndpointEntry> decodeEndpoint(VersionedRecord record) {
                    return Optional.empty();
                }
            };
            connections = new RouterExchange(
                    vertx,
                    "router-b",
                    new ForwardingState(decoder, clock),
                    new WorkLedger(),
                    clock,
                    new PromptGuard(
                            new PromptQuarantine("router-b"), clock, new ForwardMetrics(new CompositeMeterRegistry())));
            origins = new OriginExchange(
                    vertx, connections, (service, attempt) -> attempt.equals("known") ? "v1" : null, received::add);
        }

        /** Asks, and returns the answer with the time that it took in milliseconds. */
        String ask() throws Exception {
            long askedAtNanos = System.nanoTime();
            CompletableFuture<String> answer = new CompletableFuture<>();
            origins.ask("models", "first").onComplete(result -> answer.complete(String.valueOf(result.result())));
            String version = answer.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
            long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - askedAtNanos);
            Assert.assertTrue(millis < 2 * OriginExchange.MAXIMUM_ANSWER_MILLIS, "answered after ms: " + millis);
            return version;
        }
    }

    @AfterClass
    public void close() {
        vertx.close().await();
    }

    /** The caller waits for the answer, so neither a router that does not know nor one that is silent may delay it. */
    @Test
    public void oneRouterThatKnowsTheStreamIsEnough() throws Exception {
        Asker asker = new Asker();
        new Peer("router-a", asker, null, false);
        new Peer("router-c", asker, "v1", false);
        new Peer("router-d", asker, null, true);
        Assert.assertEquals(asker.ask(), "v1");
    }

    @Test
    public void questionWithoutAnAnswerEnds() throws Exception {
        Asker asker = new Asker();
        Assert.assertEquals(asker.ask(), "null");
        new Peer("router-a", asker, null, false);
        new Peer("router-d", asker, null, true);
        Assert.assertEquals(asker.ask(), "null");
    }

    @Test
    public void questionsOfOtherRoutersAreAnswered() {
        Asker asker = new Asker();
        Peer peer = new Peer("router-a", asker, null, false);
        asker.connections.handleMessage(peer, new OriginQuestion(3, "models", "known"));
        asker.connections.handleMessage(peer, new OriginQuestion(4, "models", "other"));
        Assert.assertTrue(peer.received.contains(new OriginAnswer(3, "v1")));
        Assert.assertTrue(peer.received.contains(new OriginAnswer(4, null)));
    }

    /** A message for each stream would cost each router a message a stream of all others. */
    @Test
    public void originsAreSentTogether() throws Exception {
        Asker asker = new Asker();
        Peer peer = new Peer("router-a", asker, null, false);
        List<StreamOrigin> sent = List.of(new StreamOrigin("a", OLD), new StreamOrigin("b", OLD));
        sent.forEach(asker.origins::share);
        awaitReports(peer, 1);
        List<OriginReport> reports = reports(peer);
        Assert.assertEquals(reports.size(), 1);
        asker.connections.handleMessage(peer, reports.get(0));
        Assert.assertEquals(asker.received, sent);
    }

    /** Guards against streams that most routers of a large deployment do not know, because each connects to few others. */
    @Test
    public void originsAreRelayedOnceUnlessAllRoutersAreConnected() throws Exception {
        Asker asker = new Asker();
        Peer sender = new Peer("router-a", asker, null, false);
        Peer neighbour = new Peer("router-c", asker, null, false);
        asker.connections.handleMessage(sender, new OriginReport(List.of(group("a")), false));
        asker.connections.updateMemberCounts(360, 359);
        asker.connections.handleMessage(sender, new OriginReport(List.of(group("b")), true));
        asker.connections.handleMessage(sender, new OriginReport(List.of(group("c")), false));
        asker.origins.share(new StreamOrigin("d", OLD));
        awaitReports(neighbour, 2);
        Assert.assertEqualsNoOrder(
                reports(neighbour),
                List.of(new OriginReport(List.of(group("c")), true), new OriginReport(List.of(group("d")), false)));
    }

    private static OriginGroup group(String attempt) {
        return new OriginGroup(OLD.service(), OLD.version(), List.of(attempt));
    }

    private static List<OriginReport> reports(Peer peer) {
        return peer.received.stream()
                .filter(OriginReport.class::isInstance)
                .map(OriginReport.class::cast)
                .toList();
    }

    private static void awaitReports(Peer peer, int number) throws InterruptedException {
        long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
        while (reports(peer).size() < number && System.nanoTime() < endNanos) {
            Thread.sleep(5);
        }
    }
}
