package org.redwinghook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.vertx.core.Vertx;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.message.KeyedRecord;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.QuarantineReport;
import org.redwinghook.core.message.RelayedRecords;
import org.redwinghook.core.message.WorkReport;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.quarantine.EndpointCrash;
import org.redwinghook.core.quarantine.PromptQuarantine;
import org.redwinghook.core.quarantine.QuarantineEvidence;
import org.redwinghook.core.quarantine.SuspectRequest;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.runtime.config.ConfigurationPeer;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Guards against relays that saturate the routers' links, and against records that are not relayed past the first
 * router.
 */
public class RouterExchangeTest {

    private static final int FEW_ROUTERS = 27;
    private static final int MANY_ROUTERS = 360;
    private static final RecordDecoder NO_RECORDS = new RecordDecoder() {
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

        long relayedMessages() {
            return sent.stream().filter(RelayedRecords.class::isInstance).count();
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
        exchange.handleMessage(otherPeer, new WorkReport("router-c", List.of(), false, false, List.of(0L, 0L, 0L)));
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
                reconnected, new WorkReport("router-c", List.of(), true, true, List.of(offsetSum, 0L, 0L)));
        Assert.assertEquals(reconnected.relayedMessages(), 0);
        RecordingPeer started = new RecordingPeer("router-d");
        exchange.handleConnected(started);
        exchange.handleMessage(started, new WorkReport("router-d", List.of(), true, false, List.of(0L, 0L, 0L)));
        Assert.assertEquals(started.relayedMessages(), 1);
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
        byte[] value = "value".getBytes(StandardCharsets.UTF_8);
        return new RelayedRecords(
                RecordTopic.OPERATORS.name(), List.of(new KeyedRecord("config", offset, value)), false);
    }
}
