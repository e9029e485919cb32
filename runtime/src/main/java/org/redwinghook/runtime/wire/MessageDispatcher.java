package org.redwinghook.runtime.wire;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import org.redwinghook.core.message.Message;

/** Dispatches received messages to the handlers that are registered for their types. */
public final class MessageDispatcher {

    private final Map<Class<? extends Message>, BiConsumer<PeerConnection, Message>> handlers = new HashMap<>();

    /**
     * Registers a handler.
     *
     * @param type type of the messages
     * @param handler called with the connection on which a message was received and the message
     * @param <M> type of the messages
     */
    public <M extends Message> void on(Class<M> type, BiConsumer<PeerConnection, M> handler) {
        handlers.put(type, (connection, message) -> handler.accept(connection, type.cast(message)));
    }

    /**
     * Dispatches a message. A message without a handler is dropped.
     *
     * @param connection connection on which the message was received
     * @param message the message
     */
    public void dispatch(PeerConnection connection, Message message) {
        BiConsumer<PeerConnection, Message> handler = handlers.get(message.getClass());
        if (handler != null) {
            handler.accept(connection, message);
        }
    }
}
