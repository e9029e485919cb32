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

/** Serves weights of one size under any name; all readers together share one rate. */
public final class WeightStoreStandIn implements StandIn {

    private static final long TICK_MILLIS = 10;
    private static final long TICKS_PER_SECOND = 1_000 / TICK_MILLIS;

    private final Vertx vertx;
    private final long weightBytes;
    private final StandInServer server;
    private final FaultSwitches<WeightFaults> faults;
    private final Deque<Reader> readers = new ArrayDeque<>();
    private boolean ticking;

    /**
     * Creates a store.
     *
     * @param vertx runs it
     * @param port port on 127.0.0.1, 0 for any
     * @param weightBytes size of each file of weights
     * @param bytesPerSecond rate over all readers
     */
    public WeightStoreStandIn(Vertx vertx, int port, long weightBytes, long bytesPerSecond) {
        this.vertx = vertx;
        this.weightBytes = weightBytes;
        this.server = new StandInServer(vertx, port);
        this.faults = new FaultSwitches<>(WeightFaults.class, new WeightFaults(false, bytesPerSecond));
        faults.mount(server.routes());
        server.routes().get("/weights/:name").handler(this::read);
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
     * Faults of this store.
     *
     * @return the switches
     */
    public FaultSwitches<WeightFaults> faults() {
        return faults;
    }

    private synchronized void read(RoutingContext context) {
        HttpServerResponse response = context.response();
        response.putHeader("content-type", "application/octet-stream")
                .putHeader("content-length", Long.toString(weightBytes));
        readers.add(new Reader(response, weightBytes));
        if (!ticking) {
            ticking = true;
            vertx.setTimer(TICK_MILLIS, timer -> tick());
        }
    }

    /** Sends each reader its share of what the rate permits in one tick. */
    private synchronized void tick() {
        WeightFaults current = faults.current();
        long share = Math.max(1, current.bytesPerSecond() / TICKS_PER_SECOND / readers.size());
        for (int count = readers.size(); count > 0; count--) {
            Reader next = readers.removeFirst().advance(share, current.down());
            if (next.remaining() > 0) {
                readers.addLast(next);
            }
        }
        ticking = !readers.isEmpty();
        if (ticking) {
            vertx.setTimer(TICK_MILLIS, timer -> tick());
        }
    }

    private record Reader(HttpServerResponse response, long remaining) {

        Reader advance(long share, boolean cut) {
            if (response.closed()) {
                return new Reader(response, 0);
            }
            if (cut) {
                response.reset();
                return new Reader(response, 0);
            }
            int sent = (int) Math.min(share, remaining);
            response.write(Buffer.buffer(new byte[sent]));
            if (sent == remaining) {
                response.end();
            }
            return new Reader(response, remaining - sent);
        }
    }
}
