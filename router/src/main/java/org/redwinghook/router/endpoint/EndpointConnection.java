package org.redwinghook.router.endpoint;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongFunction;
import java.util.function.LongSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.membership.PeerSilence;
import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.CallAnswer;
import org.redwinghook.core.message.Cancel;
import org.redwinghook.core.message.EndpointLoad;
import org.redwinghook.core.message.Finished;
import org.redwinghook.core.message.Heartbeat;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.Interrupted;
import org.redwinghook.core.message.Message;
import org.redwinghook.core.message.OutcomeUnknown;
import org.redwinghook.core.message.Refused;
import org.redwinghook.core.message.Tokens;
import org.redwinghook.runtime.config.ConnectionPeer;
import org.redwinghook.runtime.wire.PeerConnection;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connection to one sidecar that is reopened whenever it is lost. */
public final class EndpointConnection {

    private static final Logger LOGGER = LoggerFactory.getLogger(EndpointConnection.class);
    private static final int PROTOCOL_VERSION = 1;
    /** Maximum number of times that the reconnect delay is doubled, which keeps the shift from overflowing. */
    private static final int MAXIMUM_BACKOFF_DOUBLINGS = 16;

    private final Vertx vertx;
    private final NetClient client;
    private final ConnectionSetup setup;
    private final LongSupplier exchangeNumbers;
    private final DeliveryTiming timing;
    private final Map<Long, ExchangeListener> exchanges = new HashMap<>();
    private Member member;
    private Promise<Void> ready = Promise.promise();
    private @Nullable PeerConnection connection;
    private @Nullable ConnectionPeer peer;
    private @Nullable EndpointLoad load;
    private long incarnation;
    private long lastSentNanos;
    private PeerSilence silence;
    private int failedAttempts;
    private int waitingGenerations;
    private boolean isHandshakeComplete;
    private boolean isClosed;

    /**
     * Creates a connection that is not yet open.
     *
     * @param vertx runs timers
     * @param client opens sockets
     * @param setup dependencies shared by all connections
     * @param member VM list entry of the sidecar
     * @param exchangeNumbers supplies exchange numbers that are unique within this process
     */
    public EndpointConnection(
            Vertx vertx, NetClient client, ConnectionSetup setup, Member member, LongSupplier exchangeNumbers) {
        this.vertx = vertx;
        this.client = client;
        this.setup = setup;
        this.timing = setup.timing();
        this.member = member;
        this.exchangeNumbers = exchangeNumbers;
        this.silence = createSilence();
    }

    /** Opens the connection and keeps it open until {@link #close}. */
    public void open() {
        if (isClosed) {
            return;
        }
        client.connect(member.peerPort(), member.host())
                .onSuccess(socket -> handleOpened(new PeerConnection(socket, setup.codec(), setup.wireMetrics())))
                .onFailure(failure -> scheduleReconnect());
    }

    /** Closes the connection permanently. */
    public void close() {
        isClosed = true;
        PeerConnection open = connection;
        if (open != null) {
            open.close();
        }
        ready.tryFail("the endpoint connection was closed");
    }

    /**
     * Returns the VM list entry of the sidecar.
     *
     * @return the entry
     */
    public Member member() {
        return member;
    }

    /**
     * Updates the VM list entry while the address stays the same. Running exchanges continue: a VM that starts to leave
     * finishes its work.
     *
     * @param changed the updated entry
     */
    public void update(Member changed) {
        member = changed;
    }

    /**
     * Returns the load that the sidecar reported last.
     *
     * @return the load, empty while the connection is down
     */
    public Optional<EndpointLoad> load() {
        return isHandshakeComplete ? Optional.ofNullable(load) : Optional.empty();
    }

    /**
     * Returns the incarnation from the sidecar's last Hello message.
     *
     * @return the incarnation, 0 before the first Hello
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Returns the number of exchanges that have not ended and of generations that wait to be resumed.
     *
     * @return the number
     */
    public int outstanding() {
        return exchanges.size() + waitingGenerations;
    }

    /**
     * Returns a future that completes when the sidecar's Hello has arrived.
     *
     * @return the future, already completed if the connection is ready; it fails when the connection is closed
     *     permanently
     */
    public Future<Void> whenReady() {
        return ready.future();
    }

    /** Keeps the connection open while a generation waits to be resumed, until {@link #release}. */
    public void retain() {
        waitingGenerations++;
    }

    /** Reverts one {@link #retain}. */
    public void release() {
        waitingGenerations--;
    }

    /**
     * Starts an exchange.
     *
     * @param listener receives the sidecar's messages for the exchange
     * @param request creates the first message for an exchange number
     * @return the exchange number, empty if the connection is down and nothing was sent
     */
    public Optional<Long> startExchange(ExchangeListener listener, LongFunction<Message> request) {
        if (!isHandshakeComplete) {
            return Optional.empty();
        }
        long exchange = exchangeNumbers.getAsLong();
        exchanges.put(exchange, listener);
        send(request.apply(exchange));
        return Optional.of(exchange);
    }

    /**
     * Sends a message, or drops it while the connection is down.
     *
     * @param message the message
     */
    public void send(Message message) {
        PeerConnection open = connection;
        if (open != null) {
            lastSentNanos = System.nanoTime();
            open.send(message);
        }
    }

    /**
     * Cancels an exchange. Later messages for it are dropped.
     *
     * @param exchange exchange number
     * @param callerGone whether the caller's connection has closed
     */
    public void cancelExchange(long exchange, boolean callerGone) {
        if (exchanges.remove(exchange) != null) {
            send(new Cancel(exchange, callerGone));
        }
    }

    /**
     * Sends a heartbeat on an idle connection and closes a connection without incoming messages. Called periodically,
     * several times per heartbeat interval.
     */
    public void checkLiveness() {
        PeerConnection open = connection;
        if (open == null) {
            return;
        }
        long now = System.nanoTime();
        if (silence.check(TimeUnit.NANOSECONDS.toMillis(now))) {
            LOGGER.info("endpoint connection silent vm={} silenceMillis={}", member.vm(), timing.silenceMillis());
            open.close();
            return;
        }
        if (millisSince(lastSentNanos, now) >= timing.heartbeatMillis()) {
            send(new Heartbeat(setup.hello().get().configurationOffset(), null));
        }
    }

    private PeerSilence createSilence() {
        long nowMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
        return new PeerSilence(nowMillis, timing.livenessCheckMillis(), timing.silenceMillis());
    }

    private static long millisSince(long nanos, long now) {
        return TimeUnit.NANOSECONDS.toMillis(now - nanos);
    }

    private void handleOpened(PeerConnection opened) {
        if (isClosed) {
            opened.close();
            return;
        }
        connection = opened;
        silence = createSilence();
        opened.onMessage(message -> handleMessage(opened, message));
        opened.onClose(() -> handleClosed(opened));
        send(setup.hello().get());
        peer = new ConnectionPeer(member.vm(), opened);
        setup.configuration().handleConnected(peer);
    }

    private void handleHello(PeerConnection source, Hello hello) {
        if (hello.protocolVersion() != PROTOCOL_VERSION) {
            LOGGER.warn(
                    "protocol version not supported vm={} protocolVersion={}", member.vm(), hello.protocolVersion());
            source.close();
            return;
        }
        if (!isHandshakeComplete) {
            LOGGER.info("endpoint connected vm={}", member.vm());
        }
        incarnation = hello.incarnation();
        isHandshakeComplete = true;
        failedAttempts = 0;
        ready.tryComplete();
    }

    private void handleClosed(PeerConnection source) {
        if (source != connection) {
            return;
        }
        if (isHandshakeComplete) {
            LOGGER.info("endpoint connection lost vm={}", member.vm());
            ready = Promise.promise();
        }
        connection = null;
        if (peer != null) {
            setup.configuration().handleDisconnected(peer);
            peer = null;
        }
        load = null;
        isHandshakeComplete = false;
        List<ExchangeListener> listeners = List.copyOf(exchanges.values());
        exchanges.clear();
        if (isClosed) {
            ready.tryFail("the endpoint connection was closed");
        }
        listeners.forEach(ExchangeListener::onConnectionLost);
        scheduleReconnect();
    }

    private void scheduleReconnect() {
        if (isClosed) {
            return;
        }
        long maximumDelay = Math.min(
                timing.reconnectMostMillis(),
                timing.reconnectLeastMillis() << Math.min(failedAttempts, MAXIMUM_BACKOFF_DOUBLINGS));
        failedAttempts++;
        // Jitter prevents all routers from reconnecting to a restarted sidecar at the same time.
        long delay = ThreadLocalRandom.current().nextLong(maximumDelay / 2, maximumDelay + 1);
        vertx.setTimer(Math.max(1, delay), ignored -> open());
    }

    private void handleMessage(PeerConnection source, Message message) {
        if (source != connection) {
            setup.metrics().recordDroppedMessage();
            return;
        }
        silence.recordMessage();
        if (message instanceof Hello hello) {
            handleHello(source, hello);
        } else if (message instanceof Heartbeat heartbeat) {
            updateLoad(heartbeat.load());
            dispatchConfiguration(message);
        } else if (message instanceof Accepted accepted) {
            dispatch(accepted.exchange(), message, false);
        } else if (message instanceof Tokens tokens) {
            dispatch(tokens.exchange(), message, false);
        } else if (message instanceof Finished finished) {
            updateLoad(finished.load());
            dispatch(finished.exchange(), message, true);
        } else if (message instanceof Interrupted interrupted) {
            dispatch(interrupted.exchange(), message, true);
        } else if (message instanceof Refused refused) {
            updateLoad(refused.load());
            dispatch(refused.exchange(), message, true);
        } else if (message instanceof CallAnswer answer) {
            updateLoad(answer.load());
            dispatch(answer.exchange(), message, true);
        } else if (message instanceof OutcomeUnknown unknown) {
            dispatch(unknown.exchange(), message, true);
        } else {
            dispatchConfiguration(message);
        }
    }

    private void dispatchConfiguration(Message message) {
        if (peer != null) {
            setup.configuration().handleMessage(peer, message);
        }
    }

    private void updateLoad(@Nullable EndpointLoad reported) {
        if (reported != null) {
            load = reported;
        }
    }

    private void dispatch(long exchange, Message message, boolean isLast) {
        ExchangeListener listener = isLast ? exchanges.remove(exchange) : exchanges.get(exchange);
        if (listener == null) {
            setup.metrics().recordDroppedMessage();
            return;
        }
        listener.onMessage(message);
    }
}
