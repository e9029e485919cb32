package org.redwinghook.router.forward;

import java.util.List;
import java.util.Set;

import org.redwinghook.core.forward.EndpointEntry;

/**
 * State of a router as reported to operators.
 *
 * @param process name of the router
 * @param incarnation identifier of this start of the process
 * @param settingsDigest checksum of the settings document in force
 * @param accepting whether the router accepts new connections
 * @param configurationVersion version of the configuration in force, 0 if none is known
 * @param endpoints listed endpoints
 * @param withdrawnDataCentres data centres that receive no new requests
 * @param routers names of the connected routers
 * @param requests number of requests that have not ended
 * @param waitingRequests number of those that wait for an endpoint with capacity
 */
record ForwardingDump(
        String process,
        long incarnation,
        String settingsDigest,
        boolean accepting,
        long configurationVersion,
        List<EndpointEntry> endpoints,
        Set<String> withdrawnDataCentres,
        Set<String> routers,
        int requests,
        int waitingRequests) {}
