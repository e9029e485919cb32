package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;

import io.vertx.core.Future;
import org.redwinghook.core.rollout.RolloutState;
import org.redwinghook.core.rollout.RolloutStatus;

/** Log of statuses whose calls can fail before or after they take effect. */
final class FakeRolloutStore implements RolloutStore {

    final List<RolloutStatus> statuses = new ArrayList<>();
    int reads;
    long era;
    boolean isAway;
    boolean losesAppends;
    boolean losesResponses;
    Runnable afterRead = () -> {};
    Runnable beforeAppend = () -> {};
    Runnable lateAppend = () -> {};

    @Override
    public Future<RolloutStatusPage> readStatus(String service) {
        reads++;
        if (isAway) {
            return Future.failedFuture("away");
        }
        int last = statuses.size() - 1;
        RolloutStatusPage page =
                new RolloutStatusPage(last < 0 ? null : statuses.get(last), last, statuses.size(), era);
        afterRead.run();
        return Future.succeededFuture(page);
    }

    @Override
    public Future<Boolean> appendStatus(String service, RolloutStatus status, RolloutStatusPage page) {
        beforeAppend.run();
        if (losesAppends) {
            lateAppend = () -> append(status, page);
            return Future.failedFuture("no response");
        }
        boolean isAppended = append(status, page);
        return losesResponses ? Future.failedFuture("no response") : Future.succeededFuture(isAppended);
    }

    void add(RolloutState state, String to) {
        statuses.add(new RolloutStatus(state, to));
    }

    private boolean append(RolloutStatus status, RolloutStatusPage page) {
        if (page.endOffset() != statuses.size()) {
            return false;
        }
        statuses.add(status);
        return page.era() == era;
    }
}
