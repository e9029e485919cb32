package org.redwinghook.core.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;

import org.jspecify.annotations.Nullable;

/**
 * What endpoints announced in their responses: that they leave, or that they want no requests for some time. Load: a tenth
 * of 600 endpoints leaves and a tenth pauses while the store is unavailable. Notices belong to one start of an endpoint, as
 * the next endpoint at its address or under its identifier has announced nothing. Confined to the router's event loop.
 */
public final class EndpointNotices implements EndpointRule {

    /** Number of endpoints that are no longer listed whose notices are kept, in case their entries come back. */
    private static final int MAXIMUM_UNLISTED_NOTICES = 1_000;

    private final EndpointTable endpoints;
    private final Map<String, Notice> noticesByIncarnation = new HashMap<>();

    /**
     * Creates the rule without notices.
     *
     * @param endpoints listed endpoints
     */
    public EndpointNotices(EndpointTable endpoints) {
        this.endpoints = endpoints;
    }

    /**
     * Records that an endpoint announced that it leaves.
     *
     * @param entry the endpoint
     * @return whether it had not announced this before
     */
    public boolean recordLeaving(EndpointEntry entry) {
        Notice notice = noticeOf(entry);
        boolean isNew = !notice.isLeaving;
        notice.isLeaving = true;
        return isNew;
    }

    /**
     * Records that an endpoint asked for a pause.
     *
     * @param entry the endpoint
     * @param pauseMillis time for which it wants no requests, in milliseconds
     * @param nowMillis current monotonic time
     */
    public void recordPause(EndpointEntry entry, long pauseMillis, long nowMillis) {
        Notice notice = noticeOf(entry);
        long endMillis = pauseMillis < Long.MAX_VALUE - nowMillis ? nowMillis + pauseMillis : Long.MAX_VALUE;
        notice.returnPace = new ReturnPace(
                Math.max(endMillis, notice.returnPace == null ? endMillis : notice.returnPace.startMillis()));
    }

    /**
     * Records that a request was sent to an endpoint.
     *
     * @param entry the endpoint
     */
    public void recordStart(EndpointEntry entry) {
        ReturnPace pace = returnPaceOf(entry);
        if (pace != null) {
            pace.recordStart();
        }
    }

    /**
     * Records that an endpoint ran a request.
     *
     * @param entry the endpoint
     * @param nowMillis current monotonic time
     */
    public void recordSuccess(EndpointEntry entry, long nowMillis) {
        ReturnPace pace = returnPaceOf(entry);
        if (pace == null) {
            return;
        }
        pace.recordSuccess(nowMillis);
        if (pace.isOver()) {
            noticeOf(entry).returnPace = null;
        }
    }

    @Override
    public @Nullable Exclusion check(KnownEndpoint endpoint, RequestScope scope, long nowMillis) {
        Notice notice = noticesByIncarnation.get(endpoint.entry().incarnation());
        if (notice == null) {
            return null;
        }
        if (notice.isLeaving) {
            return Exclusion.LEAVING;
        }
        ReturnPace pace = notice.returnPace;
        return pace == null || pace.allows(nowMillis) ? null : Exclusion.PAUSED;
    }

    /**
     * Whether a request that was assigned to an endpoint may still be sent there once its connection is open.
     *
     * @param entry the endpoint
     * @param nowMillis current monotonic time
     * @return false if the endpoint has announced meanwhile that it leaves or pauses
     */
    public boolean maySendAssigned(EndpointEntry entry, long nowMillis) {
        Notice notice = noticesByIncarnation.get(entry.incarnation());
        if (notice == null) {
            return true;
        }
        ReturnPace pace = notice.returnPace;
        return !notice.isLeaving && (pace == null || nowMillis >= pace.startMillis());
    }

    /**
     * Time until a paused endpoint of a service may be asked again.
     *
     * @param service name of the service
     * @param requiredVersion software version of the endpoint, null for any
     * @param nowMillis current monotonic time
     * @return the shortest time in milliseconds, empty if no such endpoint pauses
     */
    public OptionalLong millisUntilReturn(String service, @Nullable String requiredVersion, long nowMillis) {
        return endpoints.usableEndpoints(service).stream()
                .filter(endpoint -> requiredVersion == null
                        || requiredVersion.equals(endpoint.entry().version()))
                .map(endpoint -> noticesByIncarnation.get(endpoint.entry().incarnation()))
                .filter(notice -> notice != null && !notice.isLeaving && notice.returnPace != null)
                .mapToLong(notice -> Math.max(1, notice.returnPace.nextStartMillis(nowMillis) - nowMillis))
                .min();
    }

    /**
     * Number of endpoints with a notice.
     *
     * @return the number, listed or not
     */
    public int size() {
        return noticesByIncarnation.size();
    }

    private @Nullable ReturnPace returnPaceOf(EndpointEntry entry) {
        Notice notice = noticesByIncarnation.get(entry.incarnation());
        return notice == null ? null : notice.returnPace;
    }

    private Notice noticeOf(EndpointEntry entry) {
        Notice existing = noticesByIncarnation.get(entry.incarnation());
        if (existing != null) {
            return existing;
        }
        removeUnlistedNotices();
        Notice created = new Notice(entry);
        noticesByIncarnation.put(entry.incarnation(), created);
        return created;
    }

    /** Bounds the memory: listed endpoints are few, and those that were removed do not come back for ever. */
    private void removeUnlistedNotices() {
        List<String> unlisted = new ArrayList<>();
        noticesByIncarnation.forEach((incarnation, notice) -> {
            boolean isListed = endpoints
                    .find(notice.entry.id())
                    .filter(known -> known.entry().incarnation().equals(incarnation))
                    .isPresent();
            if (!isListed) {
                unlisted.add(incarnation);
            }
        });
        if (unlisted.size() >= MAXIMUM_UNLISTED_NOTICES) {
            unlisted.forEach(noticesByIncarnation::remove);
        }
    }

    /** Notices of one start of an endpoint. */
    private static final class Notice {

        private final EndpointEntry entry;
        private boolean isLeaving;
        private @Nullable ReturnPace returnPace;

        Notice(EndpointEntry entry) {
            this.entry = entry;
        }
    }
}
