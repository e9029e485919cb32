package org.redwinghook.core.forward;

/** Reason for which a request may not go to an endpoint now. */
public enum Exclusion {
    /** The endpoint has announced that it leaves. */
    LEAVING(false),
    /** An operator has withdrawn the endpoint's data centre. */
    DATA_CENTRE_WITHDRAWN(false),
    /** The route or the customer does not allow the endpoint's region. */
    REGION_NOT_ALLOWED(false),
    /** The request has been tried at the endpoint before. */
    ALREADY_TRIED(false),
    /** The request continues a stream that began at an endpoint of another software version. */
    SOFTWARE_VERSION(false),
    /** The endpoint is cold and has received its share of requests. */
    COLD_PACE(true),
    /** A roll-out does not allow the endpoint's version for this request. */
    VERSION_NOT_ALLOWED(false),
    /** The endpoint has asked for a pause. */
    PAUSED(true);

    private final boolean isTemporary;

    Exclusion(boolean isTemporary) {
        this.isTemporary = isTemporary;
    }

    /**
     * Whether the reason ends by itself after a short time.
     *
     * @return false if the request need not wait for the endpoint
     */
    public boolean isTemporary() {
        return isTemporary;
    }
}
