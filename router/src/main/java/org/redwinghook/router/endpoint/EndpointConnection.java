package org.redwinghook.router.endpoint;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongFunction;
import java.util.function.Supplier;

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
import org.redwinghook.runtime.config.ConfigurationExchange;
import org.redwinghook.runtime.config.ConnectionPeer;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.WireMetrics;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Connection to one sidecar, opened again whenever it is lost. */
public final class EndpointConnection {

    private static final Logger LOGGER = LoggerFactory.getLogger(EndpointConnection.class);
    private static final long RECONNECT_MILLIS = 250;

    private final Vertx vertx;
    private final NetClient client;
    private final FrameCodec codec;
    private final WireMetrics metrics;
    private final Member member;
    private final Supplier<Hello> hello;
    private final ConfigurationExchange configuration;
    private final Map<Long, ExchangeListener> exchanges = new HashMap<>();
    private @Nullable PeerConnection connection;
    private @Nullable ConnectionPeer peer;
    private @Nullable EndpointLoad load;
    private long lastExchange;
    private boolean closed;

    /**
     * Creates a connection that is not yet open.
     *
     * @param vertx runs timers
     * @param client opens sockets
     * @param codec encodes and decodes frames
     * @param metrics counts bytes and messages
     * @param member the sidecar
     * @param hello gives this router's greeting
     * @param configuration spreads over the connection
     */
    public EndpointConnection(
            Vertx vertx,
            NetClient client,
            FrameCodec codec,
            WireMetrics metrics,
            Member member,
            Supplier<Hello> hello,
            ConfigurationExchange configuration) {
        this.vertx = vertx;
        this.client = client;
        this.codec = codec;
        this.metrics = metrics;
        this.member = member;
        this.hello = hello;
        this.configuration = configuration;
    }

    /** Opens the connection and keeps it open until {@link #close}. */
    public void open() {
        if (closed) {
            return;
        }
        client.connect(member.peerPort(), member.host())
                .onSuccess(socket -> opened(new PeerConnection(socket, codec, metrics)))
                .onFailure(failure -> reopenLater());
    }

    /** Closes the connection for good. */
    public void close() {
        closed = true;
        if (connection != null) {
            connection.close();
        }
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
     * The last reported load.
     *
     * @return the load, empty while the connection is down
     */
    public Optional<EndpointLoad> load() {
        return connection == null ? Optional.empty() : Optional.ofNullable(load);
    }

    /**
     * Exchanges that have not ended.
     *
     * @return their number
     */
    public int outstanding() {
        return exchanges.size();
    }

    /**
     * Starts an exchange.
     *
     * @param listener receives the sidecar's messages
     * @param request makes the first message from the exchange's number
     * @return the exchange's number, empty if the connection is down and nothing was sent
     */
    public Optional<Long> start(ExchangeListener listener, LongFunction<Message> request) {
        if (connection == null) {
            return Optional.empty();
        }
        lastExchange++;
        exchanges.put(lastExchange, listener);
        connection.send(request.apply(lastExchange));
        return Optional.of(lastExchange);
    }

    /**
     * Sends a message of a running exchange.
     *
     * @param message the message
     */
    public void send(Message message) {
        if (connection != null) {
            connection.send(message);
        }
    }

    /**
     * Ends an exchange from this side.
     *
     * @param exchange the exchange
     * @param callerGone whether the caller went away
     */
    public void cancel(long exchange, boolean callerGone) {
        if (exchanges.remove(exchange) != null) {
            send(new Cancel(exchange, callerGone));
        }
    }

    private void opened(PeerConnection opened) {
        if (closed) {
            opened.close();
            return;
        }
        connection = opened;
        opened.onMessage(this::receive);
        opened.onClose(this::lost);
        opened.send(hello.get());
        peer = new ConnectionPeer(member.vm(), opened);
        configuration.opened(peer);
        LOGGER.info("connected to {}", member.vm());
    }

    private void lost() {
        connection = null;
        if (peer != null) {
            configuration.closed(peer);
            peer = null;
        }
        load = null;
        if (!closed) {
            LOGGER.info("lost connection to {}", member.vm());
        }
        List<ExchangeListener> listeners = List.copyOf(exchanges.values());
        exchanges.clear();
        listeners.forEach(ExchangeListener::connectionLost);
        reopenLater();
    }

    private void reopenLater() {
        if (!closed) {
            vertx.setTimer(RECONNECT_MILLIS, ignored -> open());
        }
    }

    private void receive(Message message) {
        if (message instanceof Heartbeat heartbeat) {
            noteLoad(heartbeat.load());
            passConfiguration(message);
        } else if (message instanceof Accepted accepted) {
            pass(accepted.exchange(), message, false);
        } else if (message instanceof Tokens tokens) {
            pass(tokens.exchange(), message, false);
        } else if (message instanceof Finished finished) {
            noteLoad(finished.load());
            pass(finished.exchange(), message, true);
        } else if (message instanceof Interrupted interrupted) {
            pass(interrupted.exchange(), message, true);
        } else if (message instanceof Refused refused) {
            noteLoad(refused.load());
            pass(refused.exchange(), message, true);
        } else if (message instanceof CallAnswer answer) {
            noteLoad(answer.load());
            pass(answer.exchange(), message, true);
        } else if (message instanceof OutcomeUnknown unknown) {
            pass(unknown.exchange(), message, true);
        } else {
            passConfiguration(message);
        }
    }

    private void passConfiguration(Message message) {
        if (peer != null) {
            configuration.received(peer, message);
        }
    }

    private void noteLoad(@Nullable EndpointLoad reported) {
        if (reported != null) {
            load = reported;
        }
    }

    private void pass(long exchange, Message message, boolean last) {
        ExchangeListener listener = last ? exchanges.remove(exchange) : exchanges.get(exchange);
        if (listener != null) {
            listener.message(message);
        }
    }
}
