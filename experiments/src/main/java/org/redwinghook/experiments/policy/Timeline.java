package org.redwinghook.experiments.policy;

/** Times of a replay in microseconds of virtual time. */
final class Timeline {

    static final long SECOND_MICROS = 1_000_000;

    /** Start of the measurement. Earlier requests warm the endpoints up and are not measured. */
    static final long MEASUREMENT_START_MICROS = 120 * SECOND_MICROS;

    /** Time at which one engine turns cold without notice. */
    static final long COLD_ENGINE_MICROS = 200 * SECOND_MICROS;

    /** Time at which the second data centre leaves. */
    static final long MOVE_START_MICROS = 300 * SECOND_MICROS;

    /** Time at which the second data centre returns with cold endpoints. */
    static final long RETURN_MICROS = 420 * SECOND_MICROS;

    /** End of the period that counts as the move. */
    static final long MOVE_END_MICROS = 480 * SECOND_MICROS;

    /** End of the trace; no request arrives later. */
    static final long ARRIVALS_END_MICROS = 600 * SECOND_MICROS;

    /** End of the replay. Generations that still run count with the tokens generated so far. */
    static final long END_MICROS = 1_200 * SECOND_MICROS;

    private Timeline() {}

    static boolean isDuringMove(long arrivalMicros) {
        return arrivalMicros >= MOVE_START_MICROS && arrivalMicros < MOVE_END_MICROS;
    }
}
