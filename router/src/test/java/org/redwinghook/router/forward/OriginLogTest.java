package org.redwinghook.router.forward;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards the store against reads of all routers at once after an outage. */
public class OriginLogTest {

    private static final long TEST_MILLIS = 2_900;
    private static final int POLL_MILLIS = 20;

    /** Reads at a fixed interval of 500 ms would be 6. */
    private static final int MAXIMUM_READS = 4;

    /** A store that answers no read. */
    private static final class FailingStore implements OriginStore {

        private final AtomicInteger reads = new AtomicInteger();

        @Override
        public Future<RecordPage> readOrigins() {
            reads.incrementAndGet();
            return Future.failedFuture("store away");
        }

        @Override
        public Future<Void> writeOrigins(String key, byte[] value) {
            return Future.failedFuture("store away");
        }
    }

    @Test
    public void readsOfAStoreThatIsAwayBecomeRarer() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            FailingStore store = new FailingStore();
            OriginLog log = new OriginLog(vertx, () -> 0, "router-1", store, () -> 1, origin -> {}, () -> {});
            Promise<Void> done = Promise.promise();
            vertx.runOnContext(ignored -> {
                vertx.setPeriodic(POLL_MILLIS, timer -> log.read());
                vertx.setTimer(TEST_MILLIS, timer -> done.complete());
            });
            done.future().timeout(10, TimeUnit.SECONDS).await();
            int reads = store.reads.get();
            Assert.assertTrue(reads >= 2 && reads <= MAXIMUM_READS, "reads=" + reads);
        } finally {
            vertx.close().await();
        }
    }
}
