package org.redwinghook.router.forward;

import org.redwinghook.core.forward.EndpointNotices;
import org.redwinghook.core.forward.KnownEndpoint;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Records what endpoints announce in their responses. */
final class NoticeObserver implements AttemptObserver {

    private static final Logger LOGGER = LoggerFactory.getLogger(NoticeObserver.class);
    private static final int SERVICE_UNAVAILABLE = 503;

    private final EndpointNotices notices;
    private final ForwardingState state;
    private final MonotonicClock clock;
    private final ForwardMetrics metrics;

    NoticeObserver(EndpointNotices notices, ForwardingState state, MonotonicClock clock, ForwardMetrics metrics) {
        this.notices = notices;
        this.state = state;
        this.clock = clock;
        this.metrics = metrics;
    }

    @Override
    public void handleStart(CallerExchange caller, KnownEndpoint endpoint) {
        notices.recordStart(endpoint.entry());
    }

    @Override
    public void handleResponseHead(CallerExchange caller, KnownEndpoint endpoint, ResponseHead head) {
        if (head.leaving()) {
            handleLeaving(endpoint);
        }
        if (head.status() == SERVICE_UNAVAILABLE && head.pauseMillis() > 0) {
            notices.recordPause(endpoint.entry(), head.pauseMillis(), clock.millis());
            metrics.recordNotice(endpoint.entry().service(), "pause");
            LOGGER.info(
                    "endpoint pauses id={} pauseMillis={} request={}",
                    endpoint.entry().id(),
                    head.pauseMillis(),
                    caller.requestId());
        }
    }

    @Override
    public void handleEnd(
            CallerExchange caller, KnownEndpoint endpoint, AttemptOutcome outcome, long sinceStartMillis) {
        if (outcome == AttemptOutcome.SUCCEEDED) {
            notices.recordSuccess(endpoint.entry(), clock.millis());
        }
    }

    private void handleLeaving(KnownEndpoint endpoint) {
        if (!notices.recordLeaving(endpoint.entry())) {
            return;
        }
        metrics.recordNotice(endpoint.entry().service(), "leaving");
        state.announceLeaving(endpoint);
    }
}
