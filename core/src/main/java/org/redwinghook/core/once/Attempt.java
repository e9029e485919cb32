package org.redwinghook.core.once;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/** One attempt of this executor to run a key, with all claims that wait for it. */
final class Attempt {

    /** Stage of an attempt. */
    enum Stage {
        /** The intent waits for the next append. */
        QUEUED,
        /** The intent was passed on to an append and has not been read back. */
        APPENDED,
        /** The intent won the key, and the call runs. */
        RUNNING,
        /** The call has ended, and the outcome has not been read back. */
        ENDED
    }

    private final Intent intent;
    private final List<Claim> claims = new ArrayList<>();
    private Stage stage = Stage.QUEUED;
    private long runningClaim;
    private @Nullable Outcome outcome;

    Attempt(Intent intent, Claim first) {
        this.intent = intent;
        claims.add(first);
    }

    Intent intent() {
        return intent;
    }

    List<Claim> claims() {
        return claims;
    }

    Stage stage() {
        return stage;
    }

    boolean isPending() {
        return stage == Stage.QUEUED || stage == Stage.APPENDED;
    }

    long runningClaim() {
        return runningClaim;
    }

    @Nullable
    Outcome outcome() {
        return outcome;
    }

    void markAppended() {
        stage = Stage.APPENDED;
    }

    void markRunning(long claim) {
        stage = Stage.RUNNING;
        runningClaim = claim;
    }

    void markEnded(Outcome attemptOutcome) {
        stage = Stage.ENDED;
        outcome = attemptOutcome;
        claims.clear();
    }
}
