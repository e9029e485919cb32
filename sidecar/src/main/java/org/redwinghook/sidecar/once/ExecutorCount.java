package org.redwinghook.sidecar.once;

import java.util.List;
import java.util.function.IntSupplier;

import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Service;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.config.ConfigurationSource;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.sidecar.peer.EndpointGate;

/**
 * Counts the executors, which are the sidecars of all plain services; they share the log for keyed calls. The VM list
 * is read only while the count is used and at most once a minute, since a list of a thousand VMs takes some hundred
 * kilobytes.
 */
public final class ExecutorCount implements IntSupplier {

    private static final long REFRESH_INTERVAL_MILLIS = 60_000;

    private final VmListClient vmList;
    private final ConfigurationSource configuration;
    private final String ownService;
    private int count = 1;
    private long nextRefreshMillis = Long.MIN_VALUE;

    /**
     * Creates a counter.
     *
     * @param vmList client of the VM list
     * @param configuration contains the kind of each service
     * @param ownService service of this sidecar's endpoint, which is counted whatever its configured kind
     */
    public ExecutorCount(VmListClient vmList, ConfigurationSource configuration, String ownService) {
        this.vmList = vmList;
        this.configuration = configuration;
        this.ownService = ownService;
    }

    @Override
    public int getAsInt() {
        long now = EndpointGate.nowMillis();
        if (now >= nextRefreshMillis) {
            nextRefreshMillis = now + REFRESH_INTERVAL_MILLIS;
            refresh();
        }
        return count;
    }

    private void refresh() {
        // If the VM list is unreachable, the last count stays in use.
        vmList.read().onSuccess(this::updateCount);
    }

    private void updateCount(List<Member> members) {
        count = (int) members.stream().filter(this::isExecutor).count();
    }

    private boolean isExecutor(Member member) {
        String serviceName = member.service();
        if (member.role() != ProcessRole.SIDECAR || serviceName == null) {
            return false;
        }
        Configuration current = configuration.current();
        Service service = current.services().get(serviceName);
        return serviceName.equals(ownService) || service != null && service.kind() == ServiceKind.PLAIN;
    }
}
