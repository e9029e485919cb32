package org.redwinghook.router.forward;

import java.util.List;

import io.vertx.core.Vertx;
import org.redwinghook.core.message.SpeedReport;
import org.redwinghook.core.placement.EndpointSpeeds;
import org.redwinghook.core.placement.SharedSpeed;
import org.redwinghook.runtime.config.ConfigurationPeer;

/**
 * Exchanges learned speeds of endpoints with the connected routers. A report that is lost is missing until the speed
 * changes again or is renewed. Reports are not relayed.
 */
final class SpeedExchange {

    /** Shortest time between two reports, in milliseconds. */
    private static final long INTERVAL_MILLIS = 1_000;

    /** Bytes a second that this router sends to all others together, averaged over reports. */
    private static final long BYTES_PER_SECOND = 450;

    /** Largest number of endpoints in a report. */
    static final int MAXIMUM_SPEEDS = 20;

    /** Upper bounds of the bytes of a report without endpoints, and of each endpoint in it. */
    private static final int REPORT_BYTES = 64;

    private static final int SPEED_BYTES = 12;

    private static final long SECOND_MILLIS = 1_000;

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final String self;
    private final RouterExchange exchange;
    private final EndpointSpeeds speeds;
    private long sequence;
    private long nextReportMillis;

    /**
     * Creates an exchange.
     *
     * @param vertx timers
     * @param clock monotonic clock
     * @param self name of this router
     * @param startedAtMillis Unix time of the start of this router, so that its reports succeed those before its restart
     * @param exchange connections to the other routers
     * @param speeds learned speeds
     */
    SpeedExchange(
            Vertx vertx,
            MonotonicClock clock,
            String self,
            long startedAtMillis,
            RouterExchange exchange,
            EndpointSpeeds speeds) {
        this.vertx = vertx;
        this.clock = clock;
        this.self = self;
        this.sequence = startedAtMillis;
        this.exchange = exchange;
        this.speeds = speeds;
        this.nextReportMillis = clock.millis();
        exchange.register(SpeedReport.class, (peer, report) -> merge(report));
        exchange.onConnected(this::sendShared);
    }

    void start() {
        vertx.setPeriodic(INTERVAL_MILLIS, ignored -> report());
    }

    /** Reports what the other routers do not know yet, if the allowance of bytes permits. */
    void report() {
        long now = clock.millis();
        int receivers = exchange.connectedRouters().size();
        if (now < nextReportMillis || receivers == 0) {
            return;
        }
        List<SharedSpeed> changes = speeds.takeChanges(MAXIMUM_SPEEDS, now);
        if (changes.isEmpty()) {
            return;
        }
        exchange.broadcast(toReport(changes));
        nextReportMillis = now + Math.max(INTERVAL_MILLIS, millisFor(changes, receivers));
    }

    private void sendShared(ConfigurationPeer peer) {
        List<SharedSpeed> shared = speeds.shared(MAXIMUM_SPEEDS);
        if (shared.isEmpty()) {
            return;
        }
        peer.send(toReport(shared));
        nextReportMillis = Math.max(nextReportMillis, clock.millis()) + millisFor(shared, 1);
    }

    private SpeedReport toReport(List<SharedSpeed> reported) {
        sequence++;
        return new SpeedReport(self, sequence, reported);
    }

    private void merge(SpeedReport report) {
        if (!report.router().equals(self)) {
            speeds.merge(report.router(), report.sequence(), report.speeds(), clock.millis());
        }
    }

    private static long millisFor(List<SharedSpeed> reported, int receivers) {
        long bytes = REPORT_BYTES + (long) reported.size() * SPEED_BYTES;
        return bytes * receivers * SECOND_MILLIS / BYTES_PER_SECOND;
    }
}
