package org.redwinghook.core.rollout;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Earlier states of the evidence, so that recent responses can be judged alone. Load: a version that turns bad after many
 * good responses. Times are milliseconds of a monotonic clock.
 */
final class RecentEvidence {

    /** Time between two states. */
    private static final long INTERVAL_MILLIS = 1_500;

    /** Number of states. */
    private static final int STATES = 4;

    private final Deque<Map<String, RouteEvidence>> states = new ArrayDeque<>();
    private long recordedAtMillis = Long.MIN_VALUE / 2;

    /** Records the evidence of all routers if the newest state is old enough. */
    void record(Map<String, RouteEvidence> total, long nowMillis) {
        if (nowMillis - recordedAtMillis < INTERVAL_MILLIS) {
            return;
        }
        recordedAtMillis = nowMillis;
        states.addLast(total);
        if (states.size() > STATES) {
            states.removeFirst();
        }
    }

    /** Why the version is bad according to its responses since one of the states, null unless it is. */
    @Nullable
    String badBecause(Map<String, RouteEvidence> total, VersionJudgement.Certainty certainty) {
        for (Map<String, RouteEvidence> state : states) {
            List<RouteEvidence> since = new ArrayList<>();
            total.forEach((route, counts) -> {
                RouteEvidence earlier = state.get(route);
                since.add(earlier == null ? counts : counts.since(earlier).comparedWith(counts));
            });
            String reason = VersionJudgement.badBecause(since, certainty);
            if (reason != null) {
                return "recent " + reason;
            }
        }
        return null;
    }
}
