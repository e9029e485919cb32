package org.redwinghook.experiments.policy;

/** Times of a replay, in microseconds of virtual time. */
final class Timeline {

    static final long SECOND = 1_000_000;

    /** Requests that arrive earlier warm the endpoints up and are not measured. */
    static final long MEASURED_FROM = 120 * SECOND;

    /** One engine turns cold without warning. */
    static final long TURNS_COLD = 200 * SECOND;

    /** The second data centre leaves. */
    static final long LEAVES = 300 * SECOND;

    /** The second data centre returns with cold endpoints. */
    static final long RETURNS = 420 * SECOND;

    /** End of the window in which service during the move is measured. */
    static final long MOVE_ENDS = 480 * SECOND;

    static final long LAST_ARRIVAL = 600 * SECOND;

    /** End of the replay; generations that still run count with the tokens that they have. */
    static final long END = 1_200 * SECOND;

    private Timeline() {}

    static boolean duringMove(long arrivalMicros) {
        return arrivalMicros >= LEAVES && arrivalMicros < MOVE_ENDS;
    }
}
