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

/** Connection to one sidecar, opened again whenever it is lost. */
public final class EndpointConnection {

    private static final Logger LOGGER = LoggerFactory.getLogger(EndpointConnection.class);
    private static final int PROTOCOL_VERSION = 1;
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
    private long lastReceivedNanos;
    private int failedAttempts;
    private int waitingGenerations;
    private boolean greeted;
    private boolean isClosed;

    /**
     * Creates a connection that is not yet open.
     *
     * @param vertx runs timers
     * @param client opens sockets
     * @param setup what all connections share
     * @param member the sidecar
     * @param exchangeNumbers gives numbers that this process never uses twice
     */
    public EndpointConnection(
            Vertx vertx, NetClient client, ConnectionSetup setup, Member member, LongSupplier exchangeNumbers) {
        this.vertx = vertx;
        this.client = client;
        this.setup = setup;
        this.timing = setup.timing();
        this.member = member;
        this.exchangeNumbers = exchangeNumbers;
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

    /** Closes the connection for good. */
    public void close() {
        isClosed = true;
        PeerConnection open = connection;
        if (open != null) {
            open.close();
        }
        ready.tryFail("the endpoint is no longer known");
    }

    /**
     * The sidecar.
     *
     * @return its entry in the VM list
     */
    public Member member() {
        return member;
    }

    /**
     * Takes a changed entry for the same address. Running exchanges go on: a VM that starts to leave finishes its work.
     *
     * @param changed the new entry
     */
    public void update(Member changed) {
        member = changed;
    }

    /**
     * The last reported load.
     *
     * @return the load, empty while the connection is down
     */
    public Optional<EndpointLoad> load() {
        return greeted ? Optional.ofNullable(load) : Optional.empty();
    }

    /**
     * Incarnation that the sidecar's last greeting named.
     *
     * @return the incarnation, 0 before the first greeting
     */
    public long incarnation() {
        return incarnation;
    }

    /**
     * Exchanges that have not ended, and generations that wait to be resumed.
     *
     * @return their number
     */
    public int outstanding() {
        return exchanges.size() + waitingGenerations;
    }

    /**
     * Waits until the sidecar has greeted.
     *
     * @return completes at once if it has; fails when the connection is closed for good
     */
    public Future<Void> whenReady() {
        return ready.future();
    }

    /** Keeps the connection in use while a generation waits to be resumed; ended by {@link #release}. */
    public void retain() {
        waitingGenerations++;
    }

    /** Ends one {@link #retain}. */
    public void release() {
        waitingGenerations--;
    }

    /**
     * Starts an exchange.
     *
     * @param listener receives the sidecar's messages
     * @param request makes the first message from the exchange's number
     * @return the exchange's number, empty if the connection is down and nothing was sent
     */
    public Optional<Long> startExchange(ExchangeListener listener, LongFunction<Message> request) {
        if (!greeted) {
            return Optional.empty();
        }
        long exchange = exchangeNumbers.getAsLong();
        exchanges.put(exchange, listener);
        send(request.apply(exchange));
        return Optional.of(exchange);
    }

    /**
     * Sends a message. Nothing happens while the connection is down.
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
     * Ends an exchange from this side. Later messages for it are dropped.
     *
     * @param exchange the exchange
     * @param callerGone whether the caller went away
     */
    public void cancelExchange(long exchange, boolean callerGone) {
        if (exchanges.remove(exchange) != null) {
            send(new Cancel(exchange, callerGone));
        }
    }

    /** Sends a heartbeat on an idle connection and closes a silent one. Called often. */
    public void checkLiveness() {
        PeerConnection open = connection;
        if (open == null) {
            return;
        }
        long now = System.nanoTime();
        if (millisSince(lastReceivedNanos, now) >= timing.silenceMillis()) {
            LOGGER.info("no message from {} for {} ms", member.vm(), timing.silenceMillis());
            open.close();
            return;
        }
        if (millisSince(lastSentNanos, now) >= timing.heartbeatMillis()) {
            send(new Heartbeat(setup.hello().get().configurationOffset(), null));
        }
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
        lastReceivedNanos = System.nanoTime();
        opened.onMessage(message -> handleMessage(opened, message));
        opened.onClose(() -> handleClosed(opened));
        send(setup.hello().get());
        peer = new ConnectionPeer(member.vm(), opened);
        setup.configuration().opened(peer);
    }

    private void greeted(PeerConnection source, Hello greeting) {
        if (greeting.protocolVersion() != PROTOCOL_VERSION) {
            LOGGER.warn("{} speaks protocol version {}", member.vm(), greeting.protocolVersion());
            source.close();
            return;
        }
        if (!greeted) {
            LOGGER.info("connected to {}", member.vm());
        }
        incarnation = greeting.incarnation();
        greeted = true;
        failedAttempts = 0;
        ready.tryComplete();
    }

    private void handleClosed(PeerConnection source) {
        if (source != connection) {
            return;
        }
        if (greeted) {
            LOGGER.info("lost connection to {}", member.vm());
            ready = Promise.promise();
        }
        connection = null;
        if (peer != null) {
            setup.configuration().closed(peer);
            peer = null;
        }
        load = null;
        greeted = false;
        List<ExchangeListener> listeners = List.copyOf(exchanges.values());
        exchanges.clear();
        if (isClosed) {
            ready.tryFail("the endpoint is no longer known");
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
        // Jitter keeps the routers from reconnecting to a restarted sidecar all at once.
        long delay = ThreadLocalRandom.current().nextLong(maximumDelay / 2, maximumDelay + 1);
        vertx.setTimer(Math.max(1, delay), ignored -> open());
    }

    private void handleMessage(PeerConnection source, Message message) {
        if (source != connection) {
            setup.metrics().recordDroppedMessage();
            return;
        }
        lastReceivedNanos = System.nanoTime();
        if (message instanceof Hello greeting) {
            greeted(source, greeting);
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
            setup.configuration().received(peer, message);
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
