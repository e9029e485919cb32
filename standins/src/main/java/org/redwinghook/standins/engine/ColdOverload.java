package org.redwinghook.standins.engine;

/** Behaviour of a cold engine that receives more requests than its capacity. */
public enum ColdOverload {
    /** Accepts the excess requests and serves them slowly. */
    SLOW,
    /** Refuses the excess requests with status 503. */
    REFUSE,
    /** Crashes. */
    CRASH
}
