package org.redwinghook.router.endpoint;

import java.util.function.Supplier;

import org.redwinghook.core.message.Hello;
import org.redwinghook.router.metrics.RouterMetrics;
import org.redwinghook.runtime.config.ConfigurationExchange;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.WireMetrics;

/**
 * Dependencies shared by all connections to sidecars.
 *
 * @param codec encodes and decodes frames
 * @param wireMetrics counts bytes and messages
 * @param hello supplies this router's Hello message
 * @param timing intervals and timeouts of the connections
 * @param metrics counts dropped messages
 * @param configuration exchanges configuration over the connections
 */
public record ConnectionSetup(
        FrameCodec codec,
        WireMetrics wireMetrics,
        Supplier<Hello> hello,
        DeliveryTiming timing,
        RouterMetrics metrics,
        ConfigurationExchange configuration) {}
