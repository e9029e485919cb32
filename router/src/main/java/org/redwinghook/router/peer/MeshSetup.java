package org.redwinghook.router.peer;

import java.util.function.Supplier;

import org.redwinghook.core.message.Hello;
import org.redwinghook.runtime.config.ConfigurationService;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.WireMetrics;

/**
 * What all connections between routers share.
 *
 * @param codec encodes and decodes frames
 * @param metrics counts bytes and messages
 * @param hello gives this router's greeting
 * @param configuration spreads over the connections
 * @param dispatcher receives all other messages
 */
public record MeshSetup(
        FrameCodec codec,
        WireMetrics metrics,
        Supplier<Hello> hello,
        ConfigurationService configuration,
        MessageDispatcher dispatcher) {}
