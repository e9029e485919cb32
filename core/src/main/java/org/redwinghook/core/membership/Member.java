package org.redwinghook.core.membership;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.ProcessRole;

/**
 * A process on a VM, as listed in the platform's VM list.
 *
 * @param vm name of the VM
 * @param dataCentre data centre of the VM
 * @param role role of the process on the VM
 * @param host IP address
 * @param peerPort port for other processes
 * @param adminPort port for operators
 * @param service service of the endpoint on the VM, absent for routers
 * @param leaving whether the platform says that the VM is leaving
 */
public record Member(
        String vm,
        String dataCentre,
        ProcessRole role,
        String host,
        int peerPort,
        int adminPort,
        @Nullable String service,
        boolean leaving) {}
