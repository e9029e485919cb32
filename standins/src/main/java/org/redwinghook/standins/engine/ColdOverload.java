package org.redwinghook.standins.engine;

/** What a cold engine does with more requests than its capacity. */
public enum ColdOverload {
    /** It serves them slowly. */
    SLOW,
    /** It refuses them with status 503. */
    REFUSE,
    /** It dies. */
    CRASH
}
