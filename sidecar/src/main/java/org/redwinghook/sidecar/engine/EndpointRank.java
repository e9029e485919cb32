package org.redwinghook.sidecar.engine;

import java.util.List;
import java.util.OptionalInt;
import java.util.function.Function;
import java.util.function.Supplier;

import io.vertx.core.Future;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.DesiredEngine;
import org.redwinghook.core.engine.LoadSchedule;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.config.ConfigurationSource;
import org.redwinghook.sidecar.peer.EndpointGate;

/**
 * Rank of this endpoint among the live endpoints of its service and region. The VM list is read only while a weight
 * load is pending, since a list of a thousand VMs takes some hundred kilobytes. If the VM list is unreachable, the last
 * one stays in use.
 */
public final class EndpointRank implements Function<DesiredEngine, OptionalInt> {

    private static final long REFRESH_INTERVAL_MILLIS = 10_000;

    private final Supplier<Future<List<Member>>> vmList;
    private final ConfigurationSource configuration;
    private final String service;
    private final String dataCentre;
    private final String vm;
    private List<Member> members = List.of();
    private long nextRefreshMillis = Long.MIN_VALUE;

    /**
     * Creates a rank function.
     *
     * @param vmList reads the VM list
     * @param configuration assigns data centres to regions
     * @param service service of the endpoint
     * @param dataCentre data centre of the endpoint
     * @param vm name of the endpoint's VM
     */
    public EndpointRank(
            Supplier<Future<List<Member>>> vmList,
            ConfigurationSource configuration,
            String service,
            String dataCentre,
            String vm) {
        this.vmList = vmList;
        this.configuration = configuration;
        this.service = service;
        this.dataCentre = dataCentre;
        this.vm = vm;
    }

    @Override
    public OptionalInt apply(DesiredEngine desired) {
        long now = EndpointGate.nowMillis();
        if (now >= nextRefreshMillis) {
            nextRefreshMillis = now + REFRESH_INTERVAL_MILLIS;
            vmList.get().onSuccess(updated -> members = updated);
        }
        Configuration current = configuration.current();
        String region = current.regionOf(dataCentre);
        List<String> liveEndpoints = members.stream()
                .filter(member -> member.role() == ProcessRole.SIDECAR && !member.leaving())
                .filter(member -> service.equals(member.service()))
                .filter(member -> region.equals(current.regionOf(member.dataCentre())))
                .map(Member::vm)
                .toList();
        return LoadSchedule.rank(service, desired, liveEndpoints, vm);
    }
}
