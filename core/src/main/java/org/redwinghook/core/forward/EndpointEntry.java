package org.redwinghook.core.forward;

/**
 * What an endpoint says of itself.
 *
 * @param id identifier, usually new at each start
 * @param service name of its service
 * @param host IP number
 * @param port TCP port
 * @param dataCentre data centre of its VM
 * @param slots requests that it runs at once
 * @param draining whether it takes no new requests because it is leaving
 * @param coldMillis time for which it stays cold after the entry was written
 * @param startedAtMillis Unix time of its start; tells two starts under one identifier apart
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
        long startedAtMillis) {

    /**
     * Address of the endpoint.
     *
     * @return host and port
     */
    public String address() {
        return host + ":" + port;
    }

    /**
     * Whether another entry is of the same start of the same endpoint.
     *
     * @param other the other entry
     * @return false after a restart
     */
    public boolean isSameIncarnation(EndpointEntry other) {
        return id.equals(other.id)
                && startedAtMillis == other.startedAtMillis
                && address().equals(other.address());
    }
}
