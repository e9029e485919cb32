package org.redwinghook.runtime.http;

import java.util.EnumMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.RecvByteBufAllocator;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.SocketAddress;
import io.vertx.core.net.impl.ConnectionBase;
import org.redwinghook.core.receive.CallerProtection;
import org.redwinghook.core.receive.ConnectionEviction;
import org.redwinghook.core.receive.HeldConnection;
import org.redwinghook.core.receive.ReceiveBudget;
import org.redwinghook.core.receive.ReceiveLimits;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Open connections of an HTTP server, which limits their number and what each of them holds. Confined to one event loop.
 */
public final class GuardedConnections {

    /** Bytes that a connection may send ahead of the response to its request before it is no longer read. */
    static final int MAXIMUM_AHEAD_BYTES = 4_096;

    /** Time for which a caller may read a refusal before its connection closes, in milliseconds. */
    static final long LINGER_MILLIS = 1_000;

    /** Maximum number of bytes that are read at once from a connection, before others are read. */
    private static final int MAXIMUM_READ_BYTES = 32 * 1024;

    private static final int MINIMUM_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2_048;

    /** Reads once for each time that a connection is ready, so that a pause takes effect after one read. */
    public static final RecvByteBufAllocator RECEIVE_ALLOCATOR = new AdaptiveRecvByteBufAllocator(
                    MINIMUM_READ_BYTES, FIRST_READ_BYTES, MAXIMUM_READ_BYTES)
            .maxMessagesPerRead(1);

    /** Interval of checks for connections without progress, and of log lines, in milliseconds. */
    private static final long CHECK_INTERVAL_MILLIS = 1_000;

    /** Limits on requests at the ports of operators and load balancers. */
    private static final ReceiveLimitsInForce OPERATOR_LIMITS = new ReceiveLimitsInForce(8_192, 100, 3_000, 15_000);

    /** Memory for requests at such a port that arrive, in bytes. */
    private static final long OPERATOR_BUDGET_BYTES = 1024 * 1024;

    /** Time after which a connection to such a port is closed, in milliseconds; scrapes come every minute or more often. */
    private static final long OPERATOR_IDLE_MILLIS = 75_000;

    private static final Logger LOGGER = LoggerFactory.getLogger(GuardedConnections.class);

    private final GuardedPort port;
    private final LongSupplier nowMillis;
    private final ReceiveBudget budget;
    private final Supplier<ReceiveLimitsInForce> limits;
    private final CallerProtection protection;
    private final Consumer<ReceiveRefusal> counter;
    private final ConnectionEviction eviction;
    private final Set<ConnectionGuard> guards = new LinkedHashSet<>();
    private final Map<ReceiveRefusal, Integer> unloggedRefusals = new EnumMap<>(ReceiveRefusal.class);

    /**
     * Creates the connections of a server.
     *
     * @param port its port
     * @param nowMillis monotonic time, in milliseconds
     * @param budget memory for received bytes
     * @param limits limits on request heads in force
     * @param protection limits on all connections
     * @param counter receives each refusal
     */
    public GuardedConnections(
            GuardedPort port,
            LongSupplier nowMillis,
            ReceiveBudget budget,
            Supplier<ReceiveLimitsInForce> limits,
            CallerProtection protection,
            Consumer<ReceiveRefusal> counter) {
        this.port = port;
        this.nowMillis = nowMillis;
        this.budget = budget;
        this.limits = limits;
        this.protection = protection;
        this.counter = counter;
        this.eviction = new ConnectionEviction(protection.addressShare());
    }

    /**
     * Creates the connections of a port for operators or load balancers, whose requests are small and answered at once.
     *
     * @param port name of the port for the log
     * @param protection limits on all connections
     * @param counter receives each refusal
     * @return the connections
     */
    public static GuardedConnections forOperators(
            String port, CallerProtection protection, Consumer<ReceiveRefusal> counter) {
        LongSupplier clock = () -> System.nanoTime() / 1_000_000;
        return new GuardedConnections(
                new GuardedPort(port, protection.operatorConnections(), OPERATOR_IDLE_MILLIS),
                clock,
                new ReceiveBudget(OPERATOR_BUDGET_BYTES, clock),
                () -> OPERATOR_LIMITS,
                protection,
                counter);
    }

    /**
     * Starts the checks for connections without progress.
     *
     * @param vertx event loop of the server
     */
    public void start(Vertx vertx) {
        vertx.setPeriodic(CHECK_INTERVAL_MILLIS, ignored -> check());
    }

    /**
     * Adds a connection that was just opened, for which another one may be closed.
     *
     * @param connection the connection, which has received nothing
     */
    public void add(HttpConnection connection) {
        SocketAddress remote = connection.remoteAddress();
        String address = remote == null || remote.host() == null ? "" : remote.host();
        ConnectionGuard guard = new ConnectionGuard(this, address, budget);
        ConnectionBase base = (ConnectionBase) connection;
        base.channel().config().setRecvByteBufAllocator(RECEIVE_ALLOCATOR);
        ChannelPipeline pipeline = base.channel().pipeline();
        pipeline.addFirst(guard);
        pipeline.addBefore(base.channelHandlerContext().name(), null, new ResponseWatch(guard));
        // The new connection, which has not served a request yet, is closed only if no other one may be.
        HeldConnection chosen = guards.size() >= port.maximumConnections() ? eviction.choose(guards) : null;
        guards.add(guard);
        if (guards.size() > port.maximumConnections()) {
            ConnectionGuard closed = chosen instanceof ConnectionGuard found ? found : guard;
            guards.remove(closed);
            closed.end(ReceiveRefusal.TOO_MANY_CONNECTIONS);
        }
    }

    /**
     * Closes a connection at once. A close through the HTTP library waits until the caller has read what was written, which
     * some never do.
     *
     * @param connection the connection
     */
    public static void abort(HttpConnection connection) {
        ChannelHandlerContext guard =
                ((ConnectionBase) connection).channel().pipeline().context(ConnectionGuard.class);
        if (guard == null) {
            connection.close();
            return;
        }
        guard.close();
    }

    void remove(ConnectionGuard guard) {
        guards.remove(guard);
    }

    void recordRefusal(ReceiveRefusal refusal) {
        counter.accept(refusal);
        unloggedRefusals.merge(refusal, 1, Integer::sum);
    }

    ReceiveLimitsInForce limits() {
        return limits.get();
    }

    /** Whether a head with a number of fields and bytes may be decoded now. */
    boolean mayDecode(int fields, int headBytes) {
        return fields <= ReceiveLimits.LARGE_HEAD_FIELDS
                || budget.hasRoomFor(ReceiveLimits.headHeapBytes(fields, headBytes));
    }

    int progressBytes() {
        return protection.progressBytes();
    }

    long progressMillis() {
        return protection.progressMillis();
    }

    boolean answersAtOnce() {
        return port.answersAtOnce();
    }

    boolean isSilentTooLong(long silentMillis) {
        return silentMillis > port.maximumIdleMillis();
    }

    long nowMillis() {
        return nowMillis.getAsLong();
    }

    private void check() {
        long now = nowMillis();
        boolean isShort = budget.isShort() || guards.size() >= port.maximumConnections();
        List.copyOf(guards).forEach(guard -> guard.check(now, isShort));
        unloggedRefusals.forEach((refusal, number) -> LOGGER.info(
                "connections refused port={} cause={} number={} open={} heldBytes={}",
                port.name(),
                refusal.label(),
                number,
                guards.size(),
                budget.heldBytes()));
        unloggedRefusals.clear();
    }
}
