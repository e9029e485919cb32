package org.redwinghook.router.peer;

import java.util.function.Supplier;

import org.redwinghook.core.message.Hello;
import org.redwinghook.runtime.config.PeerListener;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.WireMetrics;

/**
 * Dependencies shared by all connections between routers.
 *
 * @param codec encodes and decodes frames
 * @param metrics counts bytes and messages
 * @param hello supplies this router's Hello message
 * @param listener receives connection events and all messages
 * @param dispatcher dispatches all messages to the handlers of their types
 * @param timing intervals and timeouts of the connections
 * @param topology selects the routers to connect to
 */
public record MeshSetup(
        FrameCodec codec,
        WireMetrics metrics,
        Supplier<Hello> hello,
        PeerListener listener,
        MessageDispatcher dispatcher,
        MeshTiming timing,
        MeshTopology topology) {}
