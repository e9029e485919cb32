package org.redwinghook.operator;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.redwinghook.core.membership.Member;
import org.redwinghook.runtime.settings.Address;

/** Polls processes until they have applied the configuration through a log offset, or the wait is over. */
final class ConfirmationPoller {

    private static final long POLL_INTERVAL_MILLIS = 200;

    private final Vertx vertx;
    private final AdminClient client;
    private final long offset;
    private final long deadlineNanos;

    ConfirmationPoller(Vertx vertx, long offset, long waitMillis) {
        this.vertx = vertx;
        this.client = new AdminClient(vertx);
        this.offset = offset;
        this.deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
    }

    /** Completes with the processes that did not confirm in time. Each process is polled at least once. */
    Future<List<UnconfirmedProcess>> awaitAll(List<Member> members) {
        List<Future<List<UnconfirmedProcess>>> polls =
                members.stream().map(this::poll).toList();
        return Future.join(polls)
                .map(ignored ->
                        polls.stream().flatMap(poll -> poll.result().stream()).toList());
    }

    private Future<List<UnconfirmedProcess>> poll(Member member) {
        Address adminAddress = new Address(member.host(), member.adminPort());
        return client.getConfiguration(adminAddress)
                .map(summary -> summary.getLong("offset"))
                .map(appliedOffset -> appliedOffset >= offset ? "" : "is at offset " + appliedOffset)
                .otherwise(failure -> "did not answer: " + failure.getMessage())
                .compose(problem -> {
                    if (problem.isEmpty()) {
                        return Future.succeededFuture(new ArrayList<>());
                    }
                    if (System.nanoTime() - deadlineNanos >= 0) {
                        return Future.succeededFuture(List.of(new UnconfirmedProcess(
                                member.vm(), member.dataCentre(), adminAddress.toString(), problem)));
                    }
                    return pollAgain(member);
                });
    }

    private Future<List<UnconfirmedProcess>> pollAgain(Member member) {
        Promise<List<UnconfirmedProcess>> promise = Promise.promise();
        vertx.setTimer(POLL_INTERVAL_MILLIS, ignored -> poll(member).onComplete(promise));
        return promise.future();
    }
}
