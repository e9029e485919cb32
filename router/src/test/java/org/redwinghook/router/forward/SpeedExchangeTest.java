package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.vertx.core.Vertx;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.SpeedReport;
import org.redwinghook.core.placement.EndpointSpeeds;
import org.redwinghook.core.placement.SharedSpeed;
import org.redwinghook.core.placement.SpeedSample;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.quarantine.PromptQuarantine;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.runtime.config.ConfigurationPeer;
import org.redwinghook.runtime.wire.FrameCodec;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against reports of speeds that fill the routers' links. */
public class SpeedExchangeTest {

    private static final int ENDPOINTS = 600;
    private static final int SECONDS = 600;
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
    private final FrameCodec codec = new FrameCodec();
    private final List<String> instances = new ArrayList<>();
    private long now = 1_000_000;
    private long reports;
    private long bytes;

    /** Another router; a lost report is the same as one that it has not received. */
    private final class CountingPeer implements ConfigurationPeer {

        private final String name;

        CountingPeer(int number) {
            name = "router-" + number;
        }

        @Override
        public String name() {
            return name;
        }

        @Override
        public void send(Message message) {
            if (message instanceof SpeedReport) {
                reports++;
                bytes += codec.encode(message).length();
            }
        }
    }

    @AfterClass
    public void close() {
        vertx.close().await();
    }

    // Connections of a router: a full mesh of 64, the positions among 360, or one.
    @DataProvider
    public Object[][] connections() {
        return new Object[][] {{63}, {18}, {1}};
    }

    // Load: the speeds of 600 endpoints change all the time, and other routers connect one after the other.
    @Test(dataProvider = "connections")
    public void reportsStayWithinTheirBytes(int connections) {
        reports = 0;
        bytes = 0;
        EndpointSpeeds speeds = new EndpointSpeeds();
        MonotonicClock clock = () -> now;
        PromptGuard guard =
                new PromptGuard(new PromptQuarantine("self"), clock, new ForwardMetrics(new CompositeMeterRegistry()));
        RouterExchange exchange = new RouterExchange(
                vertx, "self", new ForwardingState(NO_RECORDS, clock), new WorkLedger(), clock, guard);
        SpeedExchange speedExchange = new SpeedExchange(vertx, clock, "self", 1L << 41, exchange, speeds);
        for (int second = 0; second < SECONDS; second++) {
            now += 1_000;
            observe(speeds, second);
            speedExchange.report();
            if (second < connections) {
                exchange.handleConnected(new CountingPeer(second));
            }
        }
        Assert.assertTrue(reports > 0, "no report was sent");
        Assert.assertTrue(reports <= (long) SECONDS * connections + connections, "reports " + reports);
        Assert.assertTrue(bytes < 500L * SECONDS, "bytes a second " + bytes / SECONDS);
        SharedSpeed other = new SharedSpeed(EndpointSpeeds.key("e-0@8"), 300, 21);
        exchange.handleMessage(new CountingPeer(0), new SpeedReport("router-0", 1, List.of(other)));
        speeds.refresh(List.of("e-0@8"), 1, now);
        Assert.assertTrue(speeds.slowdown("e-0@8") > 1.5, "a received report is not used");
    }

    private void observe(EndpointSpeeds speeds, int second) {
        instances.clear();
        for (int endpoint = 0; endpoint < ENDPOINTS; endpoint++) {
            String instance = "e-" + endpoint + "@7";
            instances.add(instance);
            double ratio = endpoint % 2 == 0 ? 1 : 2 + Math.sin(second / 20.0 + endpoint);
            speeds.record(instance, "s", SpeedSample.CALL, ratio, now);
        }
        speeds.refresh(instances, 0, now);
    }
}
