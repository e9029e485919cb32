package org.redwinghook.runtime.config;

import org.redwinghook.core.message.Message;

/** Exchanges configuration with other processes over their connections. */
public interface ConfigurationExchange {

    /**
     * Notes a connection over which messages can be sent.
     *
     * @param peer the connection
     */
    void opened(ConfigurationPeer peer);

    /**
     * Takes a message; messages on other subjects are ignored.
     *
     * @param peer the connection
     * @param message the message
     */
    void received(ConfigurationPeer peer, Message message);

    /**
     * Notes the end of a connection.
     *
     * @param peer the connection
     */
    void closed(ConfigurationPeer peer);
}
