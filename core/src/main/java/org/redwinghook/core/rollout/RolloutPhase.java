package org.redwinghook.core.rollout;

/** Phase of a roll-out at one router. */
public enum RolloutPhase {
    /** The version receives a small share of the requests. */
    TRIAL,
    /** The share grows in steps, within the allowance. */
    STEPS,
    /** The version receives all requests; some still run at other endpoints. */
    SHIFT,
    /** Nothing of this router runs at other endpoints any more, and nothing is sent there. */
    DRAINED,
    /** The version was found bad or did not complete in time, and receives no requests. */
    REVERTING,
    /** The store has the status that the roll-out is complete. */
    COMPLETE,
    /** The store has the status that the roll-out was reverted. */
    REVERTED
}
