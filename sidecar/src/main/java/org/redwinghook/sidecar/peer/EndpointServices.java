package org.redwinghook.sidecar.peer;

import java.util.function.LongSupplier;

import org.redwinghook.runtime.config.ConfigurationExchange;
import org.redwinghook.sidecar.call.CallService;
import org.redwinghook.sidecar.generation.GenerationService;
import org.redwinghook.sidecar.once.KeyedCallService;

/**
 * Services of the endpoint that all connections of a sidecar share.
 *
 * @param service service of the endpoint
 * @param gate admits requests to the endpoint
 * @param leavingNotice tracks which routers know that the endpoint takes no new work
 * @param generations runs generations
 * @param calls runs calls
 * @param keyedCalls answers questions of other sidecars about keyed calls
 * @param requestIdentifiers supplies request identifiers, each unique within this process
 * @param configuration exchanges the configuration with peers
 */
public record EndpointServices(
        String service,
        EndpointGate gate,
        LeavingNotice leavingNotice,
        GenerationService generations,
        CallService calls,
        KeyedCallService keyedCalls,
        LongSupplier requestIdentifiers,
        ConfigurationExchange configuration) {}
