package org.redwinghook.standins.weights;

import java.util.ArrayDeque;
import java.util.Deque;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.ext.web.RoutingContext;
import org.redwinghook.standins.StandIn;
import org.redwinghook.standins.http.FaultSwitches;
import org.redwinghook.standins.http.StandInServer;

/** Serves weight files of a fixed size under any name; all downloads share one transfer rate. */
public final class WeightStoreStandIn implements StandIn {

    private static final long TICK_INTERVAL_MILLIS = 10;
    private static final long TICKS_PER_SECOND = 1_000 / TICK_INTERVAL_MILLIS;

    private final Vertx vertx;
    private final long weightBytes;
    private final StandInServer server;
    private final FaultSwitches<WeightFaults> faults;
    private final Deque<Download> downloads = new ArrayDeque<>();
    private boolean isTickScheduled;

    /**
     * Creates a store.
     *
     * @param vertx the Vert.x instance that the stand-in runs on
     * @param port port on 127.0.0.1, or 0 for any free port
     * @param weightBytes size of each weight file
     * @param bytesPerSecond total transfer rate of all downloads
     */
    public WeightStoreStandIn(Vertx vertx, int port, long weightBytes, long bytesPerSecond) {
        this.vertx = vertx;
        this.weightBytes = weightBytes;
        this.server = new StandInServer(vertx, port);
        this.faults = new FaultSwitches<>(WeightFaults.class, new WeightFaults(false, bytesPerSecond));
        faults.registerRoutes(server.routes());
        server.routes().get("/weights/:name").handler(this::handleDownload);
    }

    @Override
    public Future<Integer> start() {
        return server.start();
    }

    @Override
    public Future<Void> stop() {
        return server.stop();
    }

    /**
     * Returns the fault switches of this store.
     *
     * @return the switches
     */
    public FaultSwitches<WeightFaults> faults() {
        return faults;
    }

    private synchronized void handleDownload(RoutingContext context) {
        HttpServerResponse response = context.response();
        response.putHeader("content-type", "application/octet-stream")
                .putHeader("content-length", Long.toString(weightBytes));
        downloads.add(new Download(response, weightBytes));
        if (!isTickScheduled) {
            isTickScheduled = true;
            vertx.setTimer(TICK_INTERVAL_MILLIS, timer -> tick());
        }
    }

    /** Sends the bytes that the transfer rate permits in one tick, in equal shares to all downloads. */
    private synchronized void tick() {
        WeightFaults current = faults.current();
        long bytesPerDownload = Math.max(1, current.bytesPerSecond() / TICKS_PER_SECOND / downloads.size());
        for (int count = downloads.size(); count > 0; count--) {
            Download download = downloads.removeFirst().sendNext(bytesPerDownload, current.down());
            if (download.remainingBytes() > 0) {
                downloads.addLast(download);
            }
        }
        isTickScheduled = !downloads.isEmpty();
        if (isTickScheduled) {
            vertx.setTimer(TICK_INTERVAL_MILLIS, timer -> tick());
        }
    }

    private record Download(HttpServerResponse response, long remainingBytes) {

        /** Sends the next bytes, or aborts the download if the store is down, and returns what remains. */
        Download sendNext(long maximumBytes, boolean isDown) {
            if (response.closed()) {
                return new Download(response, 0);
            }
            if (isDown) {
                response.reset();
                return new Download(response, 0);
            }
            int sentBytes = (int) Math.min(maximumBytes, remainingBytes);
            response.write(Buffer.buffer(new byte[sentBytes]));
            if (sentBytes == remainingBytes) {
                response.end();
            }
            return new Download(response, remainingBytes - sentBytes);
        }
    }
}
