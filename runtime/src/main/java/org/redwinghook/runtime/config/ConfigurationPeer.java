package org.redwinghook.runtime.config;

import org.redwinghook.core.message.Message;

/** An open connection to another process. Connections are told apart by identity. */
public interface ConfigurationPeer {

    /**
     * Name of the other process for logs and dumps.
     *
     * @return the name
     */
    String name();

    /**
     * Sends a message; nothing happens if the connection has ended.
     *
     * @param message the message
     */
    void send(Message message);
}
