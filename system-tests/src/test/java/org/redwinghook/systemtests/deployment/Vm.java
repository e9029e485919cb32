package org.redwinghook.systemtests.deployment;

import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.settings.Address;

/**
 * A VM with its own loopback address, so that its process restarts on the same ports.
 *
 * @param name name of the VM and of its process
 * @param dataCentre data centre of the VM
 * @param host loopback address of the VM
 * @param kind kind of the endpoint on the VM, null for a VM of a router
 */
public record Vm(
        String name,
        String dataCentre,
        String host,
        @Nullable ServiceKind kind) {

    private static final int PEER_PORT = 7100;
    private static final int RELAYED_PEER_PORT = 7101;
    private static final int ADMIN_PORT = 7200;
    private static final int CALLER_PORT = 7080;
    private static final int ENDPOINT_PORT = 7300;

    ProcessRole role() {
        return kind == null ? ProcessRole.ROUTER : ProcessRole.SIDECAR;
    }

    String service() {
        return kind == ServiceKind.PLAIN ? Deployment.PLAIN_SERVICE : Deployment.MODEL;
    }

    Address peerAddress() {
        return new Address(host, PEER_PORT);
    }

    /** Address to which other processes connect; a relay forwards to {@link #peerAddress()}. */
    Address relayedPeerAddress() {
        return new Address(host, RELAYED_PEER_PORT);
    }

    Address adminAddress() {
        return new Address(host, ADMIN_PORT);
    }

    Address callerAddress() {
        return new Address(host, CALLER_PORT);
    }

    /** Address at which the sidecar reaches its endpoint; a relay forwards to the stand-in. */
    Address endpointAddress() {
        return new Address(host, ENDPOINT_PORT);
    }

    JsonObject vmListEntry() {
        return new JsonObject()
                .put("vm", name)
                .put("dataCentre", dataCentre)
                .put("role", kind == null ? "router" : "sidecar")
                .put("host", host)
                .put("peerPort", RELAYED_PEER_PORT)
                .put("adminPort", ADMIN_PORT)
                .put("service", kind == null ? null : service());
    }
}
