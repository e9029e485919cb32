package org.redwinghook.runtime.wire;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

import org.redwinghook.core.message.Message;

/** Passes messages of a connection to the handler that is registered for their type. */
public final class MessageDispatcher {

    private final Map<Class<? extends Message>, BiConsumer<PeerConnection, Message>> handlers = new HashMap<>();

    /**
     * Registers a handler.
     *
     * @param type type of the messages
     * @param handler receives them with the connection that they came on
     * @param <M> type of the messages
     */
    public <M extends Message> void on(Class<M> type, BiConsumer<PeerConnection, M> handler) {
        handlers.put(type, (connection, message) -> handler.accept(connection, type.cast(message)));
    }

    /**
     * Passes a message on. A message without a handler is dropped.
     *
     * @param connection connection that it came on
     * @param message the message
     */
    public void dispatch(PeerConnection connection, Message message) {
        BiConsumer<PeerConnection, Message> handler = handlers.get(message.getClass());
        if (handler != null) {
            handler.accept(connection, message);
        }
    }
}
