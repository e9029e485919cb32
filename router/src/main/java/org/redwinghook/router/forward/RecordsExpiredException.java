package org.redwinghook.router.forward;

/** Thrown if the store no longer retains the requested records, so that a new snapshot is needed. */
public final class RecordsExpiredException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final long era;
    private final long firstOffset;
    private final long endOffset;

    /**
     * Creates the exception.
     *
     * @param message the request that failed
     * @param era era of the store that refused the request, 0 if the store has named none
     * @param firstOffset first retained offset, -1 if the store does not name it
     * @param endOffset offset after the last record, -1 if the store does not name it
     */
    public RecordsExpiredException(String message, long era, long firstOffset, long endOffset) {
        super(message);
        this.era = era;
        this.firstOffset = firstOffset;
        this.endOffset = endOffset;
    }

    /**
     * Era of the store that refused the request.
     *
     * @return the era, 0 if the store has named none
     */
    public long era() {
        return era;
    }

    /**
     * First retained offset.
     *
     * @return the offset, -1 if the store does not name it
     */
    public long firstOffset() {
        return firstOffset;
    }

    /**
     * End of the topic.
     *
     * @return offset after the last record, -1 if the store does not name it
     */
    public long endOffset() {
        return endOffset;
    }
}
