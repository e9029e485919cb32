package org.redwinghook.runtime.config;

import org.redwinghook.core.message.Message;

/** An open connection to another process. Connections are compared by identity. */
public interface ConfigurationPeer {

    /**
     * Returns the name of the other process, for logs and state dumps.
     *
     * @return the name
     */
    String name();

    /**
     * Sends a message. Does nothing if the connection is closed.
     *
     * @param message the message
     */
    void send(Message message);
}
