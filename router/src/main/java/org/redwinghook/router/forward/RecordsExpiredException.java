package org.redwinghook.router.forward;

/** Thrown if the store no longer retains the requested records, so that a new snapshot is needed. */
public final class RecordsExpiredException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    /**
     * Creates the exception.
     *
     * @param message the request that failed
     */
    public RecordsExpiredException(String message) {
        super(message);
    }
}
