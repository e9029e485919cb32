package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.StoreRole;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a router that takes an answer from before a resumed stream for one that covers it. */
public class ListConfirmationTest {

    /** Longer than the pause after a failed confirmation. */
    private static final long PAUSE_MILLIS = 300;

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private final List<Promise<RecordPage>> reads = new ArrayList<>();
    private final RecordStore store = new RecordStore() {
        @Override
        public Future<RecordPage> read(RecordTopic topic, long firstOffset, long waitMillis) {
            if (waitMillis > 0) {
                return Promise.<RecordPage>promise().future();
            }
            Promise<RecordPage> answer = Promise.promise();
            reads.add(answer);
            return answer.future();
        }

        @Override
        public Future<RecordPage> snapshot(RecordTopic topic) {
            return Future.succeededFuture(new RecordPage(List.of(), 0, 0, 0));
        }

        @Override
        public Future<Void> write(RecordTopic topic, String key, byte[] value) {
            return Future.succeededFuture();
        }

        @Override
        public void onEra(LongConsumer listener) {}
    };

    private RecordFollower follower = createFollower();
    private ListConfirmation confirmation = createConfirmation();

    private RecordFollower createFollower() {
        return new RecordFollower(
                vertx,
                store,
                new ForwardingState(RouterExchangeTest.NO_RECORDS, MonotonicClock.system()),
                RecordTopic.ENDPOINTS,
                MonotonicClock.system(),
                (topic, records, mayHaveLapsed) -> {},
                new RecordFollower.StoreReading(
                        () -> StoreRole.FIRST_READER, () -> StoreRole.FIRST_READER, () -> 1, () -> 0.5));
    }

    private ListConfirmation createConfirmation() {
        return new ListConfirmation(vertx, MonotonicClock.system(), List.of(follower), () -> 1);
    }

    private <T> T run(Callable<T> action) {
        Promise<T> result = Promise.promise();
        context.runOnContext(ignored -> {
            try {
                result.complete(action.call());
            } catch (Exception exception) {
                result.fail(exception);
            }
        });
        return result.future().timeout(5, TimeUnit.SECONDS).await();
    }

    private void answer(int read) {
        run(() -> reads.get(read).tryComplete(new RecordPage(List.of(), 0, 0, 0)));
    }

    private int readCount() {
        return run(reads::size);
    }

    @BeforeMethod
    public void start() {
        reads.clear();
        follower = createFollower();
        confirmation = createConfirmation();
        run(() -> {
            follower.start();
            return true;
        });
    }

    @AfterMethod
    public void stop() {
        run(() -> {
            follower.stop();
            return true;
        });
    }

    @AfterClass
    public void close() {
        vertx.close().await();
    }

    @Test
    public void callDuringAReadIsServedByTheNextOne() throws InterruptedException {
        Future<Void> first = run(confirmation::confirm);
        Future<Void> second = run(confirmation::confirm);
        Future<Void> third = run(confirmation::confirm);
        Assert.assertEquals(readCount(), 1);
        answer(0);
        Thread.sleep(PAUSE_MILLIS);
        Assert.assertTrue(first.succeeded());
        Assert.assertFalse(second.isComplete(), "the read was sent before the call");
        Assert.assertEquals(readCount(), 2);
        answer(1);
        Assert.assertTrue(second.succeeded());
        Assert.assertTrue(third.succeeded(), "calls do not share a read");
    }

    @Test
    public void failureIsReportedAndTheNextCallReadsAgain() throws InterruptedException {
        Future<Void> first = run(confirmation::confirm);
        run(() -> reads.get(0).tryFail("refused"));
        Assert.assertTrue(first.failed());
        Future<Void> second = run(confirmation::confirm);
        Assert.assertEquals(readCount(), 1, "the store is asked again at once");
        Thread.sleep(PAUSE_MILLIS);
        answer(1);
        Assert.assertTrue(second.succeeded());
    }
}
