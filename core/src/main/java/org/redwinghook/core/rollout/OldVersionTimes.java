package org.redwinghook.core.rollout;

/**
 * Times of the old version on one route, with which responses are compared.
 *
 * @param responses times to the responses, or to their first events
 * @param gaps mean times between the events of each response
 * @param newestAtMillis time at which the newest was known
 */
record OldVersionTimes(TimeSum responses, TimeSum gaps, long newestAtMillis) {

    /** No times. */
    static final OldVersionTimes NONE = new OldVersionTimes(TimeSum.NONE, TimeSum.NONE, Long.MIN_VALUE / 2);

    OldVersionTimes plus(OldVersionTimes other) {
        return new OldVersionTimes(
                responses.plus(other.responses), gaps.plus(other.gaps), Math.max(newestAtMillis, other.newestAtMillis));
    }
}
