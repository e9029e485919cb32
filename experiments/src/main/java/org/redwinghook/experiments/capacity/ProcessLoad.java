package org.redwinghook.experiments.capacity;

/**
 * Peers and configuration of a measured process.
 *
 * @param endpoints sidecars in the VM list, to which a router connects
 * @param routers other routers in the VM list of a router, or routers that connect to a sidecar
 * @param customers customers in the configuration, or 0 for no configuration
 * @param changesPerMinute rate of configuration changes
 * @param quotaRequestsPerSecond rate of quota requests from another router
 */
public record ProcessLoad(int endpoints, int routers, int customers, int changesPerMinute, int quotaRequestsPerSecond) {

    /** No endpoints, no routers and no configuration. */
    public static final ProcessLoad IDLE = new ProcessLoad(0, 0, 0, 0, 0);
}
