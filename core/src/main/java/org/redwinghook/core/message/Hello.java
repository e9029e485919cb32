package org.redwinghook.core.message;

import org.jspecify.annotations.Nullable;

/**
 * First message on each connection, in both directions.
 *
 * @param protocolVersion major version of this protocol
 * @param process name of the sending process
 * @param incarnation number that is different at each start of the process
 * @param role role of the process
 * @param service service of a sidecar's endpoint, absent for routers
 * @param dataCentre data centre of the process
 * @param configurationOffset offset through which the process has folded the configuration
 */
public record Hello(
        int protocolVersion,
        String process,
        long incarnation,
        ProcessRole role,
        @Nullable String service,
        String dataCentre,
        long configurationOffset)
        implements Message {}
