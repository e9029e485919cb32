package org.redwinghook.sidecar.peer;

import java.util.function.LongSupplier;

import org.redwinghook.runtime.config.ConfigurationExchange;
import org.redwinghook.sidecar.call.CallService;
import org.redwinghook.sidecar.generation.GenerationService;
import org.redwinghook.sidecar.once.KeyedCallService;

/**
 * What the connections of a sidecar share.
 *
 * @param service service of the endpoint
 * @param gate admits requests
 * @param generations runs generations
 * @param calls runs calls
 * @param keyedCalls answers other sidecars' questions
 * @param requestIdentifiers gives numbers for requests that are never used twice in this process
 * @param configuration spreads the configuration over the connections
 */
public record EndpointServices(
        String service,
        EndpointGate gate,
        GenerationService generations,
        CallService calls,
        KeyedCallService keyedCalls,
        LongSupplier requestIdentifiers,
        ConfigurationExchange configuration) {}
