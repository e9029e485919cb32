package org.redwinghook.runtime.http;

/** The body of a message is larger than its receiver accepts. */
public final class MessageTooLargeException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param maximumBytes maximum size of the body, in bytes
     */
    public MessageTooLargeException(int maximumBytes) {
        super("the body is larger than " + maximumBytes + " bytes", null, false, false);
    }
}
