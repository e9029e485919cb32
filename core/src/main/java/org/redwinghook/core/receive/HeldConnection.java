package org.redwinghook.core.receive;

/** An open connection of a caller, as seen by the choice of the connection that is closed for another one. */
public interface HeldConnection {

    /**
     * Address of the caller.
     *
     * @return the address without the port
     */
    String address();

    /**
     * Whether the connection may be closed.
     *
     * @return false while a request that was received completely is answered
     */
    boolean mayClose();

    /**
     * Whether a response was written completely on the connection.
     *
     * @return whether its caller has shown that it reads
     */
    boolean hasServed();

    /**
     * Time of the last progress.
     *
     * @return monotonic time, in milliseconds
     */
    long lastProgressMillis();
}
