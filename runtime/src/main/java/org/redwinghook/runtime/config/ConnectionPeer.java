package org.redwinghook.runtime.config;

import org.redwinghook.core.message.Message;
import org.redwinghook.runtime.wire.PeerConnection;

/** A peer that is connected by a {@link PeerConnection}. */
public final class ConnectionPeer implements ConfigurationPeer {

    private final String name;
    private final PeerConnection connection;

    /**
     * Creates a peer from a connection.
     *
     * @param name name of the other process
     * @param connection the connection
     */
    public ConnectionPeer(String name, PeerConnection connection) {
        this.name = name;
        this.connection = connection;
    }

    @Override
    public String name() {
        return name;
    }

    @Override
    public void send(Message message) {
        connection.send(message);
    }
}
