package org.redwinghook.router.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.redwinghook.core.config.Customer;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;
import org.redwinghook.core.quota.QuotaLimit;
import org.redwinghook.core.quota.QuotaOwner;
import org.redwinghook.router.metrics.RouterMetrics;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerDirectory;
import org.redwinghook.runtime.wire.PeerServer;
import org.redwinghook.runtime.wire.WireMetrics;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against limits that fail when the owner router is remote, unresponsive or lost. */
public class QuotaClientTest {

    private static final List<String> ROUTERS = List.of("router-a", "router-b");
    private static final String OWNER = QuotaOwner.findOwner("retail", ROUTERS).orElseThrow();
    private static final String OTHER =
            ROUTERS.stream().filter(name -> !name.equals(OWNER)).findFirst().orElseThrow();
    private static final long SHORT_LEASE_MILLIS = 200;
    private static final int MAXIMUM_ROUNDS = 20;
    /** Time in which a batch expires and is settled. */
    private static final long SETTLEMENT_MILLIS = 1_000;

    private static final Customer RETAIL = new Customer("retail", "owner", List.of(), 20, 60_000, 1, 1);

    private Vertx vertx = Vertx.vertx();
    private Context context = vertx.getOrCreateContext();
    private SimpleMeterRegistry meters = new SimpleMeterRegistry();

    @BeforeMethod
    public void open() {
        vertx.close().await();
        vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
        context = vertx.getOrCreateContext();
        meters = new SimpleMeterRegistry();
    }

    @AfterMethod
    public void close() {
        vertx.close().await();
    }

    /** Guards against a separate limit at each router: quota acquired by one must not be available to the other. */
    @Test
    public void sharesOneLimitThroughTheOwner() throws InterruptedException {
        Peers ownersPeers = new Peers();
        MessageDispatcher ownersDispatcher = new MessageDispatcher();
        QuotaClient owner = client(OWNER, ownersPeers, ownersDispatcher);
        Peers peers = new Peers();
        MessageDispatcher dispatcher = new MessageDispatcher();
        peers.connect(OWNER, ownersDispatcher, dispatcher);
        QuotaClient other = client(OTHER, peers, dispatcher);
        long started = System.nanoTime();
        int admitted = 0;
        for (int round = 0; round < 15; round++) {
            admitted += acquire(owner).isEmpty() ? 1 : 0;
            admitted += acquire(other).isEmpty() ? 1 : 0;
            Thread.sleep(20);
        }
        double seconds = (System.nanoTime() - started) / 1e9 + 0.2;
        Assert.assertTrue(admitted >= 3, admitted + " admitted");
        Assert.assertTrue(admitted <= 20 * seconds + 1, admitted + " admitted in " + seconds + " s");
        Assert.assertEquals(fallbacks(), 0.0);
    }

    /** Guards against callers that wait for an unresponsive owner, and against unlimited admission meanwhile. */
    @Test
    public void usesLocalShareWhileTheOwnerIsUnresponsive() throws InterruptedException {
        MessageDispatcher unresponsiveOwner = new MessageDispatcher();
        List<QuotaRequest> received = new ArrayList<>();
        List<PeerConnection> requestConnections = new ArrayList<>();
        unresponsiveOwner.on(QuotaRequest.class, (connection, request) -> {
            received.add(request);
            requestConnections.add(connection);
        });
        Peers peers = new Peers();
        MessageDispatcher dispatcher = new MessageDispatcher();
        peers.connect(OWNER, unresponsiveOwner, dispatcher);
        QuotaClient other = client(OTHER, peers, dispatcher);
        long started = System.nanoTime();
        int admitted = 0;
        for (int request = 0; request < 10; request++) {
            Optional<Refusal> refusal = acquire(other);
            admitted += refusal.isEmpty() ? 1 : 0;
            Assert.assertTrue(refusal.isEmpty() || refusal.get().retryAfterMillis() > 0);
        }
        double seconds = (System.nanoTime() - started) / 1e9;
        Assert.assertTrue(seconds < 2, "ten requests waited " + seconds + " s");
        Assert.assertTrue(admitted >= 1 && admitted < 10, admitted + " admitted");
        Assert.assertTrue(admitted <= 1 + 10 * seconds, admitted + " admitted in " + seconds + " s");
        Assert.assertEquals(fallbacks(), 10.0);
        QuotaGrant late = new QuotaGrant(received.get(0).exchange(), "retail", 5, 100, 2_000, 0);
        run(() -> {
            requestConnections.get(0).send(late);
            return late;
        });
        Counter dropped = meters.get("redwinghook.router.dropped.messages").counter();
        for (int wait = 0; wait < 500 && dropped.count() == 0; wait++) {
            Thread.sleep(5);
        }
        Assert.assertEquals(dropped.count(), 1.0);
    }

    /** Guards against the refusal of a request that arrives while the return of an expired batch is settled. */
    @Test
    public void asksAgainForRequestThatWaitsForSettlement() throws InterruptedException {
        MessageDispatcher ownersDispatcher = new MessageDispatcher();
        Peers peers = new Peers();
        MessageDispatcher dispatcher = new MessageDispatcher();
        peers.connect(OWNER, ownersDispatcher, dispatcher);
        QuotaClient other = client(OTHER, peers, dispatcher);
        Promise<Optional<Refusal>> duringSettlement = Promise.promise();
        ownersDispatcher.on(QuotaRequest.class, (connection, request) -> {
            long granted = request.requests() == 0 ? 0 : request.requests() + 1;
            if (granted == 0) {
                other.acquire(RETAIL, 1).onSuccess(duringSettlement::tryComplete);
            }
            connection.send(new QuotaGrant(request.exchange(), "retail", granted, granted, SHORT_LEASE_MILLIS, 0));
        });
        run(() -> {
            other.start();
            return other;
        });
        // The owner may time out while the JVM is cold; then no batch is held that could be settled.
        for (int round = 0; round < MAXIMUM_ROUNDS && !duringSettlement.future().isComplete(); round++) {
            acquire(other);
            Thread.sleep(SETTLEMENT_MILLIS);
        }
        Assert.assertEquals(duringSettlement.future().result(), Optional.empty());
    }

    /**
     * Guards against requests that hang or are admitted without a limit when another router takes over from a lost
     * owner.
     */
    @Test
    public void newOwnerTakesOverWithAnEmptyBucket() throws InterruptedException {
        Peers peers = new Peers();
        QuotaClient other = client(OTHER, peers, new MessageDispatcher());
        Assert.assertTrue(acquire(other).isEmpty(), "the local share allows one request");
        Assert.assertEquals(fallbacks(), 1.0);
        peers.routers = List.of(OTHER);
        Optional<Refusal> refused = acquire(other);
        Assert.assertTrue(refused.isPresent(), "the new owner started with a full bucket");
        Assert.assertEquals(fallbacks(), 1.0);
        Thread.sleep(refused.get().retryAfterMillis() + 10);
        Assert.assertTrue(acquire(other).isEmpty(), "the bucket of the new owner did not fill");
    }

    private QuotaClient client(String name, Peers peers, MessageDispatcher dispatcher) {
        return run(() -> new QuotaClient(
                vertx,
                name,
                peers,
                dispatcher,
                customer -> Optional.of(QuotaLimit.of(RETAIL)),
                dataCentre -> dataCentre,
                new RouterMetrics(meters)));
    }

    private Optional<Refusal> acquire(QuotaClient client) {
        return run(() -> client.acquire(RETAIL, 1)).await();
    }

    private double fallbacks() {
        return meters.get("redwinghook.router.quota.fallbacks").counter().count();
    }

    private <T> T run(Supplier<T> action) {
        Promise<T> done = Promise.promise();
        context.runOnContext(
                ignored -> Future.succeededFuture().map(nothing -> action.get()).onComplete(done));
        return done.future().await();
    }

    private final class Peers implements PeerDirectory {

        private final Map<String, PeerConnection> connections = new ConcurrentHashMap<>();
        private volatile List<String> routers = ROUTERS;

        @Override
        public Optional<PeerConnection> findConnection(String process) {
            return Optional.ofNullable(connections.get(process));
        }

        @Override
        public List<Member> routers() {
            return routers.stream()
                    .map(name -> new Member(name, "dc", ProcessRole.ROUTER, "127.0.0.1", 1, 1, null, false))
                    .toList();
        }

        void connect(String name, MessageDispatcher remoteDispatcher, MessageDispatcher localDispatcher) {
            FrameCodec codec = new FrameCodec();
            WireMetrics metrics = new WireMetrics(new SimpleMeterRegistry());
            PeerServer server = new PeerServer(
                    vertx,
                    new Address("127.0.0.1", 0),
                    codec,
                    metrics,
                    connection -> connection.onMessage(message -> remoteDispatcher.dispatch(connection, message)));
            int port = server.start().await();
            PeerConnection connection = vertx.createNetClient()
                    .connect(port, "127.0.0.1")
                    .map(socket -> new PeerConnection(socket, codec, metrics))
                    .onSuccess(opened -> opened.onMessage(message -> localDispatcher.dispatch(opened, message)))
                    .await();
            connections.put(name, connection);
        }
    }
}
