package org.redwinghook.core.forward;

/** Reason for which a request may not go to an endpoint now. */
public enum Exclusion {
    /** The endpoint has announced that it leaves. */
    LEAVING,
    /** An operator has withdrawn the endpoint's data centre. */
    DATA_CENTRE_WITHDRAWN,
    /** The route or the customer does not allow the endpoint's region. */
    REGION_NOT_ALLOWED,
    /** The request has been tried at the endpoint before. */
    ALREADY_TRIED,
    /** The endpoint is cold and has received its share of requests. */
    COLD_PACE,
    /** A roll-out does not allow the endpoint's version for this request. */
    VERSION_NOT_ALLOWED,
    /** The endpoint has asked for a pause. */
    PAUSED
}
