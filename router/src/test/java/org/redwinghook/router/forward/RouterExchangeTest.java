package org.redwinghook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.vertx.core.Vertx;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.message.KeyedRecord;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.QuarantineReport;
import org.redwinghook.core.message.RelayedRecords;
import org.redwinghook.core.message.SpeedReport;
import org.redwinghook.core.message.WorkReport;
import org.redwinghook.core.placement.EndpointSpeeds;
import org.redwinghook.core.placement.SharedSpeed;
import org.redwinghook.core.placement.SpeedSample;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.quarantine.EndpointCrash;
import org.redwinghook.core.quarantine.PromptQuarantine;
import org.redwinghook.core.quarantine.QuarantineEvidence;
import org.redwinghook.core.quarantine.SuspectRequest;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.runtime.config.ConfigurationPeer;
import org.redwinghook.runtime.wire.FrameCodec;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against relays that saturate the routers' links, and against records that are not relayed past the first
 * router.
 */
public class RouterExchangeTest {

    private static final int FEW_ROUTERS = 27;
    private static final int MANY_ROUTERS = 360;
    static final RecordDecoder NO_RECORDS = new RecordDecoder() {
        @Override
        public Optional<OperatorRecord> decodeOperatorRecord(VersionedRecord record) {
            return Optional.empty();
        }

        @Override
        public Optional<EndpointEntry> decodeEndpoint(VersionedRecord record) {
            return Optional.empty();
        }
    };

    private final Vertx vertx = Vertx.vertx();
    private ForwardingState state = new ForwardingState(NO_RECORDS, MonotonicClock.system());
    private RouterExchange exchange = exchange();
    private RecordingPeer firstPeer = new RecordingPeer("router-a");
    private static final int MANY_ENDPOINTS = 21_000;

    private RecordingPeer otherPeer = new RecordingPeer("router-c");

    /** Peer that keeps the messages sent to it. */
    private record RecordingPeer(String name, List<Message> sent) implements ConfigurationPeer {

        RecordingPeer(String name) {
            this(name, new ArrayList<>());
        }

        @Override
        public void send(Message message) {
            sent.add(message);
        }

        long quarantineReports() {
            return sent.stream().filter(QuarantineReport.class::isInstance).count();
        }

        List<RelayedRecords> relayed() {
            return sent.stream()
                    .filter(RelayedRecords.class::isInstance)
                    .map(RelayedRecords.class::cast)
                    .toList();
        }

        long relayedMessages() {
            return relayed().size();
        }
    }

    @BeforeMethod
    public void start() {
        state = new ForwardingState(NO_RECORDS, MonotonicClock.system());
        exchange = exchange();
        firstPeer = new RecordingPeer("router-a");
        otherPeer = new RecordingPeer("router-c");
    }

    @AfterClass
    public void close() {
        vertx.close().await();
    }

    /** All routers are connected, and the store reader has sent the record to each of them. */
    @Test
    public void recordIsNotRelayedWhereAllRoutersAreConnected() {
        connect(FEW_ROUTERS);
        exchange.handleMessage(firstPeer, relayedRecord(3));
        Assert.assertEquals(state.replica(RecordTopic.OPERATORS).allRecords().size(), 1);
        Assert.assertEquals(otherPeer.relayedMessages(), 0);
    }

    /** A router is connected to few of many others, and no store reader is among them. */
    @Test
    public void recordIsRelayedFromRouterToRouterInLargeDeployments() {
        connect(MANY_ROUTERS);
        exchange.handleMessage(firstPeer, relayedRecord(3));
        Assert.assertEquals(otherPeer.relayedMessages(), 1);
        Assert.assertEquals(firstPeer.relayedMessages(), 0);
        exchange.handleMessage(otherPeer, relayedRecord(3));
        Assert.assertEquals(firstPeer.relayedMessages(), 0);
    }

    /** A router was disconnected while the configuration changed. */
    @Test
    public void laggingRouterIsSentMissingRecords() throws InterruptedException {
        connect(FEW_ROUTERS);
        exchange.handleMessage(firstPeer, relayedRecord(3));
        exchange.report();
        Thread.sleep(500);
        exchange.handleMessage(otherPeer, new WorkReport("router-c", List.of(), false, false, List.of(0L, 0L, 0L), 0));
        Assert.assertEquals(otherPeer.relayedMessages(), 1);
    }

    /**
     * Guards against a link that stays congested: connections that were silent are opened again, and complete copies of the
     * records with each of them filled the link between regions for the rest of a day.
     */
    @Test
    public void reconnectedRouterIsSentOnlyRecordsThatItLacks() {
        connect(FEW_ROUTERS);
        exchange.handleMessage(firstPeer, relayedRecord(3));
        long offsetSum = state.replica(RecordTopic.OPERATORS).offsetSum();
        RecordingPeer reconnected = new RecordingPeer("router-c");
        exchange.handleConnected(reconnected);
        exchange.handleMessage(
                reconnected, new WorkReport("router-c", List.of(), true, true, List.of(offsetSum, 0L, 0L), 0));
        Assert.assertEquals(reconnected.relayedMessages(), 0);
        RecordingPeer started = new RecordingPeer("router-d");
        exchange.handleConnected(started);
        exchange.handleMessage(started, new WorkReport("router-d", List.of(), true, false, List.of(0L, 0L, 0L), 0));
        Assert.assertEquals(started.relayedMessages(), 1);
    }

    /** Load: the store came back from a copy that ends before offset 3; this router read the log of both eras. */
    private void beginSecondEra() {
        connect(FEW_ROUTERS);
        state.applySnapshot(RecordTopic.OPERATORS, 1, List.of(record("config", 2), record("withdrawal", 5)), 6, false);
        state.applySnapshot(RecordTopic.OPERATORS, 2, List.of(record("config", 2)), 3, false);
    }

    /** Guards against a router that cannot reach the store and does not learn of an era. */
    @Test
    public void eraReachesOtherRoutersAtOnce() {
        connect(FEW_ROUTERS);
        state.beginEra(2);
        Assert.assertTrue(otherPeer.sent().stream()
                .anyMatch(message -> message instanceof WorkReport report && report.era() == 2));
        exchange.handleMessage(firstPeer, new WorkReport("router-a", List.of(), false, true, List.of(0L, 0L, 0L), 3));
        Assert.assertEquals(state.era(), 3);
    }

    /** Guards against relays of the log of before that undo what was read from the new one. */
    @Test
    public void relayOfAnEarlierEraIsIgnored() {
        beginSecondEra();
        exchange.handleMessage(firstPeer, relayedRecord(9, 1));
        Assert.assertEquals(state.replica(RecordTopic.OPERATORS).offsetSum(), 3);
        exchange.handleMessage(firstPeer, relayedRecord(3, 2));
        Assert.assertEquals(state.replica(RecordTopic.OPERATORS).offsetSum(), 4);
    }

    /**
     * Guards against a router that is cut off from the store and stays at the higher offsets of before, and against a
     * complete copy from each router to each other one while all begin the era.
     */
    @Test
    public void routerOfAnEarlierEraIsSentTheLog() throws InterruptedException {
        beginSecondEra();
        long before = otherPeer.relayedMessages();
        exchange.handleMessage(otherPeer, new WorkReport("router-c", List.of(), false, false, List.of(0L, 0L, 0L), 2));
        Assert.assertEquals(otherPeer.relayedMessages(), before);
        Thread.sleep(500);
        exchange.handleMessage(otherPeer, new WorkReport("router-c", List.of(), false, false, List.of(9L, 0L, 0L), 1));
        List<RelayedRecords> repairs = otherPeer.relayed();
        Assert.assertEquals(repairs.size(), before + 1);
        start();
        state.applySnapshot(RecordTopic.OPERATORS, 1, List.of(record("withdrawal", 5)), 6, false);
        exchange.handleMessage(firstPeer, repairs.get((int) before));
        Assert.assertTrue(state.replica(RecordTopic.OPERATORS).isComplete());
        Assert.assertEquals(state.replica(RecordTopic.OPERATORS).offsetSum(), 3);
    }

    /** Guards against a router that starts after the return and knows only the copy. */
    @Test
    public void startedRouterIsToldWhatTheLogHasLost() {
        beginSecondEra();
        RecordingPeer started = new RecordingPeer("router-d");
        exchange.handleConnected(started);
        List<RelayedRecords> lost = started.relayed();
        Assert.assertEquals(lost.size(), 1);
        start();
        state.applySnapshot(RecordTopic.OPERATORS, 2, List.of(record("config", 2)), 3, false);
        lost.forEach(message -> exchange.handleMessage(firstPeer, message));
        Assert.assertTrue(state.replica(RecordTopic.OPERATORS).allRecords().stream()
                .anyMatch(known -> known.key().equals("withdrawal")));
    }

    /** Guards against offsets of a log that has ended in the log of routers whose store names no era. */
    @Test
    public void lostRecordsWithoutANamedEraAreNotSent() {
        connect(FEW_ROUTERS);
        state.applySnapshot(RecordTopic.OPERATORS, 0, List.of(record("withdrawal", 5)), 6, false);
        state.restartLog(RecordTopic.OPERATORS);
        state.applySnapshot(RecordTopic.OPERATORS, 0, List.of(record("config", 2)), 3, false);
        RecordingPeer started = new RecordingPeer("router-d");
        exchange.handleConnected(started);
        Assert.assertEquals(started.relayedMessages(), 0);
        Assert.assertEquals(otherPeer.relayedMessages(), 0);
    }

    /** Guards against connections that end since a message is larger than a router accepts. */
    @Test
    public void lostRecordsOfManyEndpointsAreSentInParts() {
        loseRecordsOfManyEndpoints();
        exchange.handleConnected(otherPeer);
        int sent = 0;
        for (RelayedRecords message : otherPeer.relayed()) {
            int length = new FrameCodec().encode(message).length();
            Assert.assertTrue(length < FrameCodec.MAXIMUM_BODY_BYTES, "bytes " + length);
            sent += message.records().size();
        }
        Assert.assertEquals(sent, MANY_ENDPOINTS);
    }

    /** Guards against links that stay congested, as each new connection carries all records that the log has lost. */
    @Test
    public void lostRecordsOfManyConnectionsKeepToABudget() {
        loseRecordsOfManyEndpoints();
        List<Message> sent = new ArrayList<>();
        for (int connection = 0; connection < 20; connection++) {
            exchange.handleConnected(new RecordingPeer("router-" + connection, sent));
        }
        long bytes = sent.stream()
                .filter(RelayedRecords.class::isInstance)
                .flatMap(message -> ((RelayedRecords) message).records().stream())
                .mapToLong(record -> record.value().length)
                .sum();
        Assert.assertTrue(bytes < 10_000_000, "bytes " + bytes);
    }

    /** Load: 21,000 endpoints have written their records once more since the copy. */
    private void loseRecordsOfManyEndpoints() {
        List<VersionedRecord> before = new ArrayList<>();
        List<VersionedRecord> copied = new ArrayList<>();
        for (int endpoint = 0; endpoint < MANY_ENDPOINTS; endpoint++) {
            copied.add(new VersionedRecord("endpoint-" + endpoint, endpoint, new byte[200]));
            before.add(new VersionedRecord("endpoint-" + endpoint, MANY_ENDPOINTS + endpoint, new byte[200]));
        }
        state.applySnapshot(RecordTopic.ENDPOINTS, 1, before, 2 * MANY_ENDPOINTS, false);
        state.applySnapshot(RecordTopic.ENDPOINTS, 2, copied, MANY_ENDPOINTS, false);
    }

    /** Each router sees the crashes of other requests; a router that connects later has to know them, too. */
    @Test
    public void evidenceOfCrashesReachesRoutersThatConnectLater() {
        connect(FEW_ROUTERS);
        exchange.handleMessage(firstPeer, crashReport("endpoint-1"));
        Assert.assertEquals(otherPeer.quarantineReports(), 0);
        RecordingPeer latePeer = new RecordingPeer("router-d");
        exchange.handleConnected(latePeer);
        Assert.assertEquals(latePeer.quarantineReports(), 1);
    }

    @Test
    public void evidenceOfCrashesIsRelayedOnceInLargeDeployments() {
        connect(MANY_ROUTERS);
        exchange.handleMessage(firstPeer, crashReport("endpoint-1"));
        exchange.handleMessage(otherPeer, crashReport("endpoint-1"));
        Assert.assertEquals(otherPeer.quarantineReports(), 1);
        Assert.assertEquals(firstPeer.quarantineReports(), 0);
    }

    @DataProvider
    public Object[][] connections() {
        return new Object[][] {{63}, {18}, {1}};
    }

    // Guards against reports of speeds that fill the links. Load: half of 600 endpoints change their speed all the
    // time.
    @Test(dataProvider = "connections")
    public void speedReportsStayWithinTheirBytes(int connections) {
        long[] now = {1_000_000};
        EndpointSpeeds speeds = new EndpointSpeeds();
        SpeedExchange speedExchange = new SpeedExchange(vertx, () -> now[0], "router-b", 1L << 41, exchange, speeds);
        List<Message> sent = new ArrayList<>();
        List<String> instances =
                IntStream.range(0, 600).mapToObj(number -> "e-" + number).toList();
        for (int second = 0; second < 600; second++) {
            now[0] += 1_000;
            for (int endpoint = 0; endpoint < instances.size(); endpoint++) {
                double ratio = endpoint % 2 == 0 ? 1 : 2 + Math.sin(second / 20.0 + endpoint);
                speeds.record(instances.get(endpoint), "s", SpeedSample.CALL, ratio, now[0]);
            }
            speeds.refresh(instances, connections, now[0]);
            speedExchange.report();
            if (second < connections) {
                exchange.handleConnected(new RecordingPeer("router-" + second, sent));
            }
        }
        List<Message> reports =
                sent.stream().filter(SpeedReport.class::isInstance).toList();
        long bytes = reports.stream()
                .mapToLong(report -> new FrameCodec().encode(report).length())
                .sum();
        Assert.assertTrue(bytes > 0 && bytes < 500L * 600, "bytes a second " + bytes / 600);
        SharedSpeed other = new SharedSpeed(EndpointSpeeds.key("other"), 300, 21);
        exchange.handleMessage(firstPeer, new SpeedReport("router-a", 1, List.of(other)));
        speeds.refresh(List.of("other"), 1, now[0]);
        Assert.assertTrue(speeds.slowdown("other") > 1.5, "a received report is not used");
    }

    private static QuarantineReport crashReport(String endpoint) {
        SuspectRequest suspect = new SuspectRequest("request-1", List.of("part-1"), -500);
        return new QuarantineReport(new QuarantineEvidence(
                List.of(new EndpointCrash(endpoint, -10, List.of(suspect), false)), List.of(), List.of()));
    }

    private RouterExchange exchange() {
        MonotonicClock clock = MonotonicClock.system();
        return new RouterExchange(vertx, "router-b", state, new WorkLedger(), clock, guard(clock));
    }

    private static PromptGuard guard(MonotonicClock clock) {
        return new PromptGuard(
                new PromptQuarantine("router-b"), clock, new ForwardMetrics(new CompositeMeterRegistry()));
    }

    private void connect(int routers) {
        exchange.handleConnected(firstPeer);
        exchange.handleConnected(otherPeer);
        exchange.updateMemberCounts(routers, 2);
    }

    private static RelayedRecords relayedRecord(long offset) {
        return relayedRecord(offset, 0);
    }

    private static RelayedRecords relayedRecord(long offset, long era) {
        byte[] value = "value".getBytes(StandardCharsets.UTF_8);
        return new RelayedRecords(
                RecordTopic.OPERATORS.name(), List.of(new KeyedRecord("config", offset, value)), false, era, era, 0, 0);
    }

    private static VersionedRecord record(String key, long offset) {
        return new VersionedRecord(key, offset, "value".getBytes(StandardCharsets.UTF_8));
    }
}
