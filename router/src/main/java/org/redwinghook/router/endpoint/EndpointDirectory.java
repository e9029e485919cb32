package org.redwinghook.router.endpoint;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetClientOptions;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.core.routing.EndpointSubset;
import org.redwinghook.core.routing.EndpointView;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.config.ConfigurationSource;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.runtime.settings.ProcessSettings;

/** Maintains connections to sidecars in the VM list. */
public final class EndpointDirectory implements StateSource {

    private static final long VM_LIST_POLL_MILLIS = 1_000;
    private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

    private final Vertx vertx;
    private final VmListClient vmList;
    private final ConfigurationSource configuration;
    private final ProcessSettings settings;
    private final ConnectionSetup setup;
    private final NetClient client;
    private final Map<String, EndpointConnection> connections = new HashMap<>();
    private long lastExchangeNumber;
    private boolean isVmListRead;
    private List<Member> members = List.of();
    private Set<String> targetVms = Set.of();
    private @Nullable List<Member> targetVmsMembers;
    private @Nullable Configuration targetVmsConfiguration;
    private final List<Consumer<List<Member>>> listeners = new ArrayList<>();

    /**
     * Creates a directory without endpoints.
     *
     * @param vertx runs timers
     * @param vmList client of the platform's VM list
     * @param configuration source of the configuration in force
     * @param settings settings with the name and data centre of this router
     * @param setup dependencies shared by all connections
     */
    public EndpointDirectory(
            Vertx vertx,
            VmListClient vmList,
            ConfigurationSource configuration,
            ProcessSettings settings,
            ConnectionSetup setup) {
        this.vertx = vertx;
        this.vmList = vmList;
        this.configuration = configuration;
        this.settings = settings;
        this.setup = setup;
        this.client = vertx.createNetClient(
                new NetClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS).setTcpNoDelay(true));
    }

    /** Starts to poll the VM list and to check the connections. */
    public void start() {
        pollVmList();
        vertx.setPeriodic(VM_LIST_POLL_MILLIS, ignored -> pollVmList());
        vertx.setPeriodic(setup.timing().livenessCheckMillis(), ignored -> List.copyOf(connections.values())
                .forEach(EndpointConnection::checkLiveness));
    }

    /**
     * Adds a listener that receives each VM list that was read.
     *
     * @param listener called on the event loop of the process
     */
    public void onMembers(Consumer<List<Member>> listener) {
        listeners.add(listener);
    }

    /**
     * Returns the endpoints of a service that take new work.
     *
     * @param service name of the service
     * @return views with the last reported load
     */
    public List<EndpointView> views(String service) {
        Configuration current = configuration.current();
        String ownRegion = current.regionOf(settings.dataCentre());
        List<EndpointView> views = new ArrayList<>();
        for (EndpointConnection connection : connections.values()) {
            Member member = connection.member();
            if (!service.equals(member.service())
                    || member.leaving()
                    || !current.takesNewWork(member.dataCentre(), member.vm())) {
                continue;
            }
            connection
                    .load()
                    .ifPresent(load -> views.add(new EndpointView(
                            member.vm(),
                            member.dataCentre(),
                            ownRegion.equals(current.regionOf(member.dataCentre())),
                            connection.outstanding(),
                            load)));
        }
        return views;
    }

    /**
     * Returns the connection to an endpoint. A connection to an endpoint outside this router's subset is opened on
     * demand, for a caller that resumes a generation there, and closed when it is no longer in use.
     *
     * @param vm name of the endpoint's VM
     * @return the connection, empty if the VM list has no sidecar on this VM
     */
    public Optional<EndpointConnection> connection(String vm) {
        EndpointConnection existing = connections.get(vm);
        if (existing != null) {
            return Optional.of(existing);
        }
        for (Member member : members) {
            if (member.vm().equals(vm) && member.role() == ProcessRole.SIDECAR) {
                connectOrUpdate(member);
                break;
            }
        }
        return Optional.ofNullable(connections.get(vm));
    }

    /**
     * Returns whether the VM list has been read.
     *
     * @return true after the first successful read
     */
    public boolean isVmListRead() {
        return isVmListRead;
    }

    /**
     * Returns the routers of all regions that are not leaving.
     *
     * @return their VM list entries
     */
    public List<Member> routers() {
        return members.stream()
                .filter(member -> member.role() == ProcessRole.ROUTER && !member.leaving())
                .toList();
    }

    /** Closes all connections. */
    public void close() {
        List.copyOf(connections.values()).forEach(EndpointConnection::close);
    }

    @Override
    public Object state() {
        return connections.values().stream()
                .map(connection -> new EndpointState(
                        connection.member().vm(),
                        connection.outstanding(),
                        connection.load().isPresent()))
                .toList();
    }

    private void pollVmList() {
        vmList.read().onSuccess(this::update);
    }

    private void update(List<Member> currentMembers) {
        isVmListRead = true;
        members = currentMembers;
        listeners.forEach(listener -> listener.accept(currentMembers));
        updateTargetVms(currentMembers);
        for (Member member : currentMembers) {
            if (targetVms.contains(member.vm()) || connections.containsKey(member.vm())) {
                connectOrUpdate(member);
            }
        }
        for (String vm : Set.copyOf(connections.keySet())) {
            if (!targetVms.contains(vm) && connections.get(vm).outstanding() == 0) {
                connections.remove(vm).close();
            }
        }
    }

    /**
     * Updates the VMs to connect to: this router's subset of the endpoints of each service in each region. The subset
     * of all endpoints receives the configuration, even where operators have withdrawn all endpoints from new work; the
     * subset of the endpoints that take new work serves requests.
     */
    private void updateTargetVms(List<Member> currentMembers) {
        Configuration current = configuration.current();
        // The VM list client returns the same list object while nothing has changed. Skipping it saves the cost of
        // hashing all endpoints.
        if (currentMembers == targetVmsMembers && current == targetVmsConfiguration) {
            return;
        }
        targetVmsMembers = currentMembers;
        targetVmsConfiguration = current;
        targetVms = new HashSet<>(selectSubset(current, currentMembers));
        targetVms.addAll(selectSubset(
                current,
                currentMembers.stream()
                        .filter(member -> !member.leaving() && current.takesNewWork(member.dataCentre(), member.vm()))
                        .toList()));
    }

    private Set<String> selectSubset(Configuration current, List<Member> candidates) {
        String ownRegion = current.regionOf(settings.dataCentre());
        Map<ServiceRegion, List<String>> endpoints = new HashMap<>();
        for (Member member : candidates) {
            if (member.role() == ProcessRole.SIDECAR && member.service() != null) {
                ServiceRegion serviceRegion =
                        new ServiceRegion(member.service(), current.regionOf(member.dataCentre()));
                endpoints
                        .computeIfAbsent(serviceRegion, ignored -> new ArrayList<>())
                        .add(member.vm());
            }
        }
        Set<String> subset = new HashSet<>();
        endpoints.forEach((serviceRegion, vms) -> {
            int size = serviceRegion.region().equals(ownRegion) ? EndpointSubset.SIZE : EndpointSubset.REMOTE_SIZE;
            subset.addAll(EndpointSubset.choose(settings.process(), vms, size));
        });
        return subset;
    }

    private void connectOrUpdate(Member member) {
        EndpointConnection existing = connections.get(member.vm());
        if (existing != null
                && existing.member().host().equals(member.host())
                && existing.member().peerPort() == member.peerPort()) {
            existing.update(member);
            return;
        }
        if (existing != null) {
            existing.close();
        }
        EndpointConnection added = new EndpointConnection(vertx, client, setup, member, () -> ++lastExchangeNumber);
        connections.put(member.vm(), added);
        added.open();
    }

    private record EndpointState(String vm, int outstanding, boolean connected) {}

    private record ServiceRegion(String service, String region) {}
}
