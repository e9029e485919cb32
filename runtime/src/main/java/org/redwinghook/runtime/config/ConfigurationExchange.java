package org.redwinghook.runtime.config;

import org.redwinghook.core.message.Message;

/** Exchanges configuration with other processes over their connections. */
public interface ConfigurationExchange {

    /**
     * Notes a connection over which messages can be sent.
     *
     * @param peer the connection
     */
    void handleConnected(ConfigurationPeer peer);

    /**
     * Takes a message; messages on other subjects are ignored.
     *
     * @param peer the connection
     * @param message the message
     */
    void handleMessage(ConfigurationPeer peer, Message message);

    /**
     * Notes the end of a connection.
     *
     * @param peer the connection
     */
    void handleDisconnected(ConfigurationPeer peer);
}
