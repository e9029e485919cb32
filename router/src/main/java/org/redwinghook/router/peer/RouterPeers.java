package org.redwinghook.router.peer;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.vertx.core.Future;
import io.vertx.core.net.NetClient;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.Hello;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerDirectory;
import org.redwinghook.runtime.wire.WireMetrics;

/** Opens connections to other routers on demand. */
public final class RouterPeers implements PeerDirectory {

    private final String process;
    private final NetClient client;
    private final FrameCodec codec;
    private final WireMetrics metrics;
    private final Supplier<Hello> hello;
    private final Supplier<List<Member>> members;
    private final MessageDispatcher dispatcher;
    private final Map<String, PeerConnection> connections = new HashMap<>();
    private final Map<String, Future<PeerConnection>> pendingConnections = new HashMap<>();

    /**
     * Creates a directory without connections.
     *
     * @param process name of this router
     * @param client opens sockets
     * @param codec encodes and decodes frames
     * @param metrics counts bytes and messages
     * @param hello supplies this router's Hello message
     * @param members supplies the VM list entries of the routers of all regions that are not leaving
     * @param dispatcher dispatches messages to the handlers of their types
     */
    public RouterPeers(
            String process,
            NetClient client,
            FrameCodec codec,
            WireMetrics metrics,
            Supplier<Hello> hello,
            Supplier<List<Member>> members,
            MessageDispatcher dispatcher) {
        this.process = process;
        this.client = client;
        this.codec = codec;
        this.metrics = metrics;
        this.hello = hello;
        this.members = members;
        this.dispatcher = dispatcher;
    }

    @Override
    public Optional<PeerConnection> findConnection(String name) {
        connect(name);
        return Optional.ofNullable(connections.get(name));
    }

    @Override
    public Future<PeerConnection> connect(String name) {
        PeerConnection open = connections.get(name);
        if (open != null) {
            return Future.succeededFuture(open);
        }
        for (Member member : members.get()) {
            if (member.vm().equals(name) && !name.equals(process)) {
                return pendingConnections.computeIfAbsent(name, ignored -> open(member));
            }
        }
        return Future.failedFuture("no other router in the VM list is named " + name);
    }

    @Override
    public List<Member> routers() {
        List<Member> listed = members.get();
        if (listed.stream().anyMatch(member -> member.vm().equals(process))) {
            return listed;
        }
        // The VM list is updated with a delay. Without an entry of its own, a router would find no routers in its
        // region and treat itself as the owner of every customer's quota.
        List<Member> all = new ArrayList<>(listed);
        all.add(new Member(process, hello.get().dataCentre(), ProcessRole.ROUTER, "", 0, 0, null, false));
        return all;
    }

    /** Closes all connections. */
    public void close() {
        new ArrayList<>(connections.values()).forEach(PeerConnection::close);
    }

    private Future<PeerConnection> open(Member member) {
        return client.connect(member.peerPort(), member.host())
                .onComplete(result -> pendingConnections.remove(member.vm()))
                .map(socket -> handleOpened(member, new PeerConnection(socket, codec, metrics)));
    }

    private PeerConnection handleOpened(Member member, PeerConnection connection) {
        connections.put(member.vm(), connection);
        connection.onMessage(message -> dispatcher.dispatch(connection, message));
        connection.onClose(() -> connections.remove(member.vm(), connection));
        connection.send(hello.get());
        return connection;
    }
}
