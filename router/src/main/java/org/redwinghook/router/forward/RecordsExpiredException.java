package org.redwinghook.router.forward;

/** The store no longer keeps the records asked for; only a snapshot helps. */
public final class RecordsExpiredException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message what was asked for
     */
    public RecordsExpiredException(String message) {
        super(message);
    }
}
