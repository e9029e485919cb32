package org.redwinghook.experiments.policy;

/** Times of a replay, in microseconds of virtual time. */
final class Timeline {

    static final long SECOND_MICROS = 1_000_000;

    /** Requests that arrive earlier warm the endpoints up and are not measured. */
    static final long MEASUREMENT_START_MICROS = 120 * SECOND_MICROS;

    /** One engine turns cold without warning. */
    static final long COLD_ENGINE_MICROS = 200 * SECOND_MICROS;

    /** The second data centre leaves. */
    static final long MOVE_START_MICROS = 300 * SECOND_MICROS;

    /** The second data centre returns with cold endpoints. */
    static final long RETURN_MICROS = 420 * SECOND_MICROS;

    /** End of the window in which service during the move is measured. */
    static final long MOVE_END_MICROS = 480 * SECOND_MICROS;

    static final long ARRIVALS_END_MICROS = 600 * SECOND_MICROS;

    /** End of the replay; generations that still run count with the tokens that they have. */
    static final long END_MICROS = 1_200 * SECOND_MICROS;

    private Timeline() {}

    static boolean isDuringMove(long arrivalMicros) {
        return arrivalMicros >= MOVE_START_MICROS && arrivalMicros < MOVE_END_MICROS;
    }
}
