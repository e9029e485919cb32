package org.redwinghook.router.peer;

import java.util.function.Supplier;

import org.redwinghook.core.message.Hello;
import org.redwinghook.runtime.config.PeerListener;
import org.redwinghook.runtime.wire.FrameCodec;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.WireMetrics;

/**
 * What all connections between routers share.
 *
 * @param codec encodes and decodes frames
 * @param metrics counts bytes and messages
 * @param hello gives this router's greeting
 * @param listener is told of the connections and receives all messages
 * @param dispatcher receives all messages
 * @param timing times of the connections
 * @param topology to which routers connections are opened
 */
public record MeshSetup(
        FrameCodec codec,
        WireMetrics metrics,
        Supplier<Hello> hello,
        PeerListener listener,
        MessageDispatcher dispatcher,
        MeshTiming timing,
        MeshTopology topology) {}
