package org.redwinghook.runtime.config;

import org.redwinghook.core.message.Message;

/** Handles the connections to other processes over which configuration is exchanged. */
public interface ConfigurationExchange {

    /**
     * Handles a new connection, over which messages can be sent from now on.
     *
     * @param peer the connection
     */
    void handleConnected(ConfigurationPeer peer);

    /**
     * Handles a received message. Messages of types that do not concern the configuration are ignored.
     *
     * @param peer connection on which the message was received
     * @param message the message
     */
    void handleMessage(ConfigurationPeer peer, Message message);

    /**
     * Handles the end of a connection.
     *
     * @param peer the connection
     */
    void handleDisconnected(ConfigurationPeer peer);
}
