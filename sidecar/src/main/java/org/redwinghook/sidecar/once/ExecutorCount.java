package org.redwinghook.sidecar.once;

import java.util.List;
import java.util.function.IntSupplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Service;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.config.ConfigurationSource;
import org.redwinghook.runtime.platform.VmListClient;

/** Counts the sidecars that share the log for keyed calls: those of all plain services. */
public final class ExecutorCount implements IntSupplier {

    private static final long REFRESH_MILLIS = 10_000;

    private final VmListClient vmList;
    private final ConfigurationSource configuration;
    private final String ownService;
    private int count = 1;

    /**
     * Starts to count.
     *
     * @param vertx runs the timer
     * @param vmList the VM list
     * @param configuration tells which services are plain ones
     * @param ownService service of this sidecar's endpoint, which counts in any case
     */
    public ExecutorCount(Vertx vertx, VmListClient vmList, ConfigurationSource configuration, String ownService) {
        this.vmList = vmList;
        this.configuration = configuration;
        this.ownService = ownService;
        refresh();
        vertx.setPeriodic(REFRESH_MILLIS, ignored -> refresh());
    }

    @Override
    public int getAsInt() {
        return count;
    }

    private void refresh() {
        // An unreachable list leaves the last count in force.
        vmList.read().onSuccess(this::count);
    }

    private void count(List<Member> members) {
        count = (int) members.stream().filter(this::isExecutor).count();
    }

    private boolean isExecutor(Member member) {
        String name = member.service();
        if (member.role() != ProcessRole.SIDECAR || name == null) {
            return false;
        }
        Configuration current = configuration.current();
        Service service = current.services().get(name);
        return name.equals(ownService) || service != null && service.kind() == ServiceKind.PLAIN;
    }
}
