package org.redwinghook.core.rollout;

import org.jspecify.annotations.Nullable;

/**
 * State of a roll-out that the store has acknowledged, and whether the store may have lost it. Load: the store comes back
 * from a copy that lacks the newest state; the state still holds and has to be written again.
 */
final class StoredState {

    private @Nullable RolloutState state;
    private long stateEra;
    private long era;

    /**
     * Begins an era of the store.
     *
     * @param newEra the era; the state of an earlier one counts as lost until it is seen in this one
     */
    void beginEra(long newEra) {
        era = Math.max(era, newEra);
    }

    /**
     * Records a state that the store has or had.
     *
     * @param newest the state; a final one never changes again
     * @param newestEra era of the store in which it was seen
     */
    void record(RolloutState newest, long newestEra) {
        beginEra(newestEra);
        if (newest == state) {
            stateEra = Math.max(stateEra, newestEra);
        } else if (state == null || newest.isFinal() && !state.isFinal()) {
            state = newest;
            stateEra = newestEra;
        }
    }

    /** The state, null if the store never had one. */
    @Nullable
    RolloutState state() {
        return state;
    }

    /** Era of the store in which the state was seen last, 0 if the store has named none. */
    long stateEra() {
        return stateEra;
    }

    boolean isFinal() {
        return state != null && state.isFinal();
    }

    /** Whether the state has not been seen in the present era. */
    boolean isLost() {
        return state != null && stateEra < era;
    }
}
