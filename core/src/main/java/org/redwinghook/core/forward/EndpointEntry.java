package org.redwinghook.core.forward;

/**
 * Registration record of an endpoint.
 *
 * @param id identifier, usually new at each start
 * @param service name of its service
 * @param host IP address
 * @param port TCP port
 * @param dataCentre data centre of its VM
 * @param slots number of requests that it can run concurrently
 * @param draining whether it takes no new requests because it is leaving
 * @param coldMillis time for which it stays cold, counted from the write of the entry
 * @param startedAtMillis Unix time of its start; distinguishes restarts under the same identifier
 * @param version version of its service, empty if it names none
 */
public record EndpointEntry(
        String id,
        String service,
        String host,
        int port,
        String dataCentre,
        int slots,
        boolean draining,
        long coldMillis,
        long startedAtMillis,
        String version) {

    /**
     * Address of the endpoint.
     *
     * @return host and port
     */
    public String address() {
        return host + ":" + port;
    }

    /**
     * Identifier of this start of the endpoint.
     *
     * @return identifier and time of its start
     */
    public String incarnation() {
        return id + "@" + startedAtMillis;
    }

    /**
     * Whether another entry belongs to the same endpoint and the same start of it. The version tells restarts apart whose
     * entries have no time of their start.
     *
     * @param other the other entry
     * @return false after a restart
     */
    public boolean isSameIncarnation(EndpointEntry other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && version.equals(other.version)
                && address().equals(other.address());
    }
}
