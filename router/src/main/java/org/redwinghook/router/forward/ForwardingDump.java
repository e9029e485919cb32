package org.redwinghook.router.forward;

import java.util.List;
import java.util.Set;

import org.redwinghook.core.forward.EndpointEntry;

/**
 * State of a router for operators.
 *
 * @param process name of the router
 * @param incarnation number of its start
 * @param accepting whether it takes new connections
 * @param configurationVersion version of the configuration in force, 0 if none is known
 * @param endpoints listed endpoints
 * @param withdrawnDataCentres data centres that are out
 * @param routers connected routers
 * @param requests requests that have not ended
 */
record ForwardingDump(
        String process,
        long incarnation,
        boolean accepting,
        long configurationVersion,
        List<EndpointEntry> endpoints,
        Set<String> withdrawnDataCentres,
        Set<String> routers,
        int requests) {}
