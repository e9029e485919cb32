package org.redwinghook.core.relocation;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.message.LeaveNotice;

/**
 * What the reports of engines say about their ends: one state for each start of an engine, from all routers that read its
 * reports. Notices may be merged in any order and repeatedly; of each kind the latest counts. Load: the engines of the
 * table, of which a sixth leaves every few seconds. Times are milliseconds of a monotonic clock. Confined to one event
 * loop.
 */
public final class LeaveNotices {

    /**
     * Time by which a report that an engine stays has to be later than one that it leaves, in milliseconds. Reports show
     * the state of some hundred milliseconds ago, and ages that were sent between routers lack the time of the transfer.
     */
    private static final long WITHDRAWAL_MILLIS = 1_000;

    /** Time for which notices of endpoints that are not listed are kept, in milliseconds; entries may arrive later. */
    private static final long UNLISTED_MILLIS = 10_000;

    /** Maximum number of engines of which notices are kept; ten times the engines that leave at the same time. */
    private static final int MAXIMUM_ENGINES = 1_000;

    /** Time after the expected end, or after a notice without one, at which an engine should have gone, in milliseconds. */
    private static final long OVERDUE_MILLIS = 3_000;

    private static final long NEVER = Long.MIN_VALUE / 2;

    private final Map<String, State> stateByIncarnation = new HashMap<>();

    /** Effect of a notice on the state of an engine. */
    public enum Change {
        /** The engine is now expected to leave. */
        LEAVES,
        /** The engine is no longer expected to leave. */
        STAYS,
        /** The state is as before. */
        NONE
    }

    /** Latest notices about one start of an engine. */
    private static final class State {

        private final String endpoint;
        private final long startedAtMillis;
        private long leavingMillis = NEVER;
        private long stayingMillis = NEVER;
        private long endKnownMillis = NEVER;
        private long endMillis = Long.MAX_VALUE;
        private String reader = "";

        State(String endpoint, long startedAtMillis) {
            this.endpoint = endpoint;
            this.startedAtMillis = startedAtMillis;
        }

        boolean leaves() {
            return leavingMillis > NEVER && stayingMillis - leavingMillis < WITHDRAWAL_MILLIS;
        }

        void merge(LeaveNotice notice, long readMillis) {
            if (!notice.leaves()) {
                stayingMillis = Math.max(stayingMillis, readMillis);
                return;
            }
            if (readMillis > leavingMillis) {
                leavingMillis = readMillis;
                reader = notice.reader();
            }
            long noticedEndMillis = readMillis + notice.ageMillis() + notice.remainingMillis();
            boolean isTie = readMillis == endKnownMillis && noticedEndMillis < endMillis;
            if (notice.remainingMillis() >= 0 && (readMillis > endKnownMillis || isTie)) {
                endKnownMillis = readMillis;
                endMillis = noticedEndMillis;
            }
        }

        boolean isOverdue(long nowMillis) {
            return nowMillis - (endMillis == Long.MAX_VALUE ? leavingMillis : endMillis) > OVERDUE_MILLIS;
        }

        LeaveNotice notice(boolean leaves, long nowMillis) {
            return new LeaveNotice(
                    endpoint,
                    startedAtMillis,
                    leaves,
                    nowMillis - (leaves ? leavingMillis : stayingMillis),
                    leaves && endMillis != Long.MAX_VALUE ? Math.max(0, endMillis - nowMillis) : -1,
                    reader);
        }
    }

    /**
     * Key of one start of an endpoint.
     *
     * @param notice notice of the endpoint
     * @return identifier and time of the start, as in its entry
     */
    public static String incarnation(LeaveNotice notice) {
        return notice.endpoint() + "@" + notice.startedAtMillis();
    }

    /**
     * Merges a notice.
     *
     * @param notice the notice
     * @param nowMillis current time
     * @return its effect
     */
    public Change merge(LeaveNotice notice, long nowMillis) {
        State state = stateByIncarnation.get(incarnation(notice));
        if (state == null) {
            if (!notice.leaves() || stateByIncarnation.size() >= MAXIMUM_ENGINES) {
                return Change.NONE;
            }
            state = new State(notice.endpoint(), notice.startedAtMillis());
            stateByIncarnation.put(incarnation(notice), state);
        }
        boolean left = state.leaves();
        state.merge(notice, nowMillis - Math.max(0, notice.ageMillis()));
        if (left == state.leaves()) {
            return Change.NONE;
        }
        return left ? Change.STAYS : Change.LEAVES;
    }

    /**
     * Whether an engine is expected to leave.
     *
     * @param incarnation the start of the engine
     * @return false without a notice
     */
    public boolean leaves(String incarnation) {
        State state = stateByIncarnation.get(incarnation);
        return state != null && state.leaves();
    }

    /**
     * Expected end of an engine.
     *
     * @param incarnation the start of the engine
     * @return the time, {@link Long#MAX_VALUE} if it is not known
     */
    public long endMillis(String incarnation) {
        State state = stateByIncarnation.get(incarnation);
        return state == null ? Long.MAX_VALUE : state.endMillis;
    }

    /**
     * Whether an engine should have gone by now, so that another report may withdraw its notice.
     *
     * @param incarnation the start of the engine
     * @param nowMillis current time
     * @return false for an engine that is not expected to leave
     */
    public boolean isOverdue(String incarnation, long nowMillis) {
        State state = stateByIncarnation.get(incarnation);
        return state != null && state.leaves() && state.isOverdue(nowMillis);
    }

    /**
     * Notice of an engine's state, to be sent to other routers.
     *
     * @param incarnation the start of the engine
     * @param nowMillis current time
     * @return the notice, null without a state
     */
    public @Nullable LeaveNotice notice(String incarnation, long nowMillis) {
        State state = stateByIncarnation.get(incarnation);
        return state == null ? null : state.notice(state.leaves(), nowMillis);
    }

    /**
     * Latest notices of all engines, also of those that stay after all.
     *
     * @param nowMillis current time
     * @return the notices, to be sent to a router that connects
     */
    public List<LeaveNotice> allNotices(long nowMillis) {
        return stateByIncarnation.values().stream()
                .map(state -> state.notice(state.leaves(), nowMillis))
                .toList();
    }

    /**
     * Forgets engines that have not been listed for some time.
     *
     * @param listed the listed starts of engines
     * @param nowMillis current time
     */
    public void removeUnlisted(Set<String> listed, long nowMillis) {
        stateByIncarnation
                .entrySet()
                .removeIf(entry -> !listed.contains(entry.getKey())
                        && nowMillis - entry.getValue().leavingMillis > UNLISTED_MILLIS);
    }

    /**
     * Whether no notice is known.
     *
     * @return true in normal operation
     */
    public boolean isEmpty() {
        return stateByIncarnation.isEmpty();
    }
}
