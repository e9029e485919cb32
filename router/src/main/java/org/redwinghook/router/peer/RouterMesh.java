package org.redwinghook.router.peer;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerServer;

/** Connects this router to other routers, so that configuration reaches every router within a few hops. */
public final class RouterMesh implements StateSource {

    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Vertx vertx;
    private final String self;
    private final MeshSetup setup;
    private final NetClient client;
    private final PeerServer server;
    private final Map<String, MeshLink> links = new HashMap<>();
    private final Set<MeshConnection> acceptedConnections = new HashSet<>();
    private int liveRouters = 1;

    /**
     * Creates a mesh without connections.
     *
     * @param vertx runs timers
     * @param self name of this router
     * @param address address on which other routers connect
     * @param setup dependencies shared by all connections
     */
    public RouterMesh(Vertx vertx, String self, Address address, MeshSetup setup) {
        this.vertx = vertx;
        this.self = self;
        this.setup = setup;
        this.client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
        this.server = new PeerServer(vertx, address, setup.codec(), setup.metrics(), this::accept);
    }

    /**
     * Starts to listen for connections of other routers.
     *
     * @return the port
     */
    public Future<Integer> start() {
        vertx.setPeriodic(setup.timing().heartbeatMillis(), ignored -> checkLiveness());
        return server.start();
    }

    /**
     * Updates the connections to match the routers in the VM list.
     *
     * @param members all entries of the VM list
     */
    public void update(List<Member> members) {
        Map<String, Member> routers = new HashMap<>();
        for (Member member : members) {
            if (member.role() == ProcessRole.ROUTER && !member.leaving()) {
                routers.put(member.vm(), member);
            }
        }
        List<String> neighbours = setup.topology().neighbours(routers.keySet(), self);
        for (String name : Set.copyOf(links.keySet())) {
            MeshLink link = links.get(name);
            if (!neighbours.contains(name) || !link.member().equals(routers.get(name))) {
                links.remove(name);
                link.close();
            }
        }
        for (String name : neighbours) {
            links.computeIfAbsent(name, added -> openLink(routers.get(name)));
        }
        liveRouters = routers.size() + (routers.containsKey(self) ? 0 : 1);
        reportMembers();
    }

    /**
     * Closes the port and all connections.
     *
     * @return a future that completes when the port is closed
     */
    public Future<Void> stop() {
        links.values().forEach(MeshLink::close);
        links.clear();
        return server.stop();
    }

    @Override
    public Object state() {
        return new MeshState(liveRouters, List.copyOf(links.keySet()), acceptedConnections.size());
    }

    private MeshLink openLink(Member member) {
        MeshLink link = new MeshLink(vertx, client, member, setup);
        link.open();
        return link;
    }

    private void accept(PeerConnection connection) {
        MeshConnection[] created = new MeshConnection[1];
        created[0] = new MeshConnection(connection, setup, false, () -> acceptedConnections.remove(created[0]));
        acceptedConnections.add(created[0]);
    }

    private void checkLiveness() {
        links.values().forEach(MeshLink::checkLiveness);
        Set.copyOf(acceptedConnections).forEach(MeshConnection::checkLiveness);
        reportMembers();
    }

    private void reportMembers() {
        long reachable =
                links.values().stream().filter(link -> !link.isUnreachable()).count();
        setup.listener().updateMemberCounts(liveRouters, (int) reachable);
    }

    private record MeshState(int liveRouters, List<String> links, int accepted) {}
}
