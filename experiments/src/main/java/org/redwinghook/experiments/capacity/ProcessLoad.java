package org.redwinghook.experiments.capacity;

/**
 * What surrounds a measured process.
 *
 * @param endpoints sidecars in the VM list that a router connects to
 * @param routers other routers: in the VM list of a router, connected to a sidecar
 * @param customers customers in the configuration, 0 for no configuration at all
 * @param changesPerMinute changes of the configuration
 * @param quotaRequestsPerSecond quota requests that another router sends
 */
public record ProcessLoad(int endpoints, int routers, int customers, int changesPerMinute, int quotaRequestsPerSecond) {

    /** No endpoints, no routers and no configuration. */
    public static final ProcessLoad IDLE = new ProcessLoad(0, 0, 0, 0, 0);
}
