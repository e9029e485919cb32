package org.redwinghook.router.forward;

/** Thrown if a call failed before any of it was sent, so that it cannot have been executed. */
public final class CallNotSentException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param cause why there was no connection
     */
    public CallNotSentException(Throwable cause) {
        super("not sent: " + cause.getMessage(), cause);
    }
}
