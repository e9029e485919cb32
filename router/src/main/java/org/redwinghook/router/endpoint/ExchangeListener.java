package org.redwinghook.router.endpoint;

import org.redwinghook.core.message.Message;

/** Receives a sidecar's messages for one exchange. */
public interface ExchangeListener {

    /**
     * A message arrived.
     *
     * @param message the message
     */
    void onMessage(Message message);

    /** The connection to the sidecar ended; nothing more arrives for this exchange. */
    void onConnectionLost();
}
