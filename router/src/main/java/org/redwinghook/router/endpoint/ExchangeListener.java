package org.redwinghook.router.endpoint;

import org.redwinghook.core.message.Message;

/** Receives the messages of a sidecar for one exchange. */
public interface ExchangeListener {

    /**
     * Called when a message has arrived.
     *
     * @param message the message
     */
    void onMessage(Message message);

    /** Called when the connection to the sidecar is lost; no more messages arrive for this exchange. */
    void onConnectionLost();
}
