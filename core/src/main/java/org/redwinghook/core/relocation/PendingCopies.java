package org.redwinghook.core.relocation;

import org.redwinghook.core.placement.WorkTotals;

/**
 * Runs that a router has to copy from an engine that leaves, and whose copies have not begun.
 *
 * @param router name of the router
 * @param runs number of the runs
 * @param tokens memory of the runs, in tokens
 */
public record PendingCopies(String router, int runs, long tokens) {

    /**
     * Estimates the copies of a router from its work at the engine. Runs whose prompts are still in prefill hold nothing
     * that could be copied.
     *
     * @param router name of the router
     * @param work its work at the engine
     * @return the copies
     */
    public static PendingCopies of(String router, WorkTotals work) {
        if (work.heldTokens() == 0) {
            return new PendingCopies(router, 0, 0);
        }
        int inPrefill = work.waitingTokens() > 0 ? 1 : 0;
        return new PendingCopies(router, Math.max(1, work.running() - inPrefill), work.heldTokens());
    }

    /** Memory of each run, in tokens. */
    long tokensPerRun() {
        return tokens / Math.max(1, runs);
    }
}
