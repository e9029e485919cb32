package org.redwinghook.router.forward;

import java.util.List;
import java.util.function.IntSupplier;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.replica.ConfirmationPace;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Confirms that this router has all records that the store had when it was asked to. Load: a router that was frozen or cut off
 * acts on requests that reached it before the records that it has missed; neither the time of its last read nor an answer that was under way tells
 * what it has missed. Calls that come while the store is read share the next read. Confined to one event loop.
 */
final class ListConfirmation {

    private static final Logger LOGGER = LoggerFactory.getLogger(ListConfirmation.class);

    private final Vertx vertx;
    private final MonotonicClock clock;
    private final List<RecordFollower> followers;
    private final IntSupplier routerCount;
    private @Nullable Promise<Void> next;
    private boolean isStarted;
    private boolean hasFailed;
    private long startedAtMillis = Long.MIN_VALUE / 2;

    /**
     * Creates the confirmation.
     *
     * @param vertx timers
     * @param clock monotonic clock
     * @param followers read the topics that are confirmed together
     * @param routerCount number of routers, which share the store's rate
     */
    ListConfirmation(Vertx vertx, MonotonicClock clock, List<RecordFollower> followers, IntSupplier routerCount) {
        this.vertx = vertx;
        this.clock = clock;
        this.followers = List.copyOf(followers);
        this.routerCount = routerCount;
    }

    /**
     * Reads the topics up to their ends.
     *
     * @return completes when all records that the store had at the time of this call have been merged; fails if it did not
     *     answer
     */
    Future<Void> confirm() {
        Promise<Void> shared = next;
        if (shared == null) {
            shared = Promise.promise();
            next = shared;
            scheduleNext();
        }
        return shared.future();
    }

    private void scheduleNext() {
        if (isStarted || next == null) {
            return;
        }
        isStarted = true;
        long intervalMillis = ConfirmationPace.intervalMillis(followers.size(), routerCount.getAsInt(), hasFailed);
        long delayMillis = startedAtMillis + intervalMillis - clock.millis();
        if (delayMillis <= 0) {
            start();
            return;
        }
        vertx.setTimer(delayMillis, ignored -> start());
    }

    private void start() {
        Promise<Void> served = next;
        next = null;
        startedAtMillis = clock.millis();
        List<Future<Void>> reads =
                followers.stream().map(RecordFollower::readToEnd).toList();
        Future.join(reads).<Void>mapEmpty().onComplete(read -> {
            if (read.failed() && !hasFailed) {
                LOGGER.info("list not confirmed cause={}", read.cause().toString());
            }
            hasFailed = read.failed();
            isStarted = false;
            if (served != null) {
                served.handle(read);
            }
            scheduleNext();
        });
    }
}
