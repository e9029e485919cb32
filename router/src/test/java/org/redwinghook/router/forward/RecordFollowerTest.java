package org.redwinghook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.StoreRole;
import org.redwinghook.core.replica.VersionedRecord;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against reads that go on in the log of before when the store has come back from a copy. */
public class RecordFollowerTest {

    private static final long CALL_TIMEOUT_MILLIS = 5_000;

    /** Its offset is given out again, which shows that records from there on were written after the return. */
    private static final VersionedRecord OTHER = new VersionedRecord("other", 3, new byte[] {1});

    /** A call to the store, answered by the test. */
    private record Call(boolean isSnapshot, long firstOffset, Promise<RecordPage> answer) {}

    private final Vertx vertx = Vertx.vertx();
    private final Context context = vertx.getOrCreateContext();
    private ForwardingState state = new ForwardingState(RouterExchangeTest.NO_RECORDS, MonotonicClock.system());
    private final BlockingQueue<Call> calls = new LinkedBlockingQueue<>();

    private final RecordStore store = new RecordStore() {
        @Override
        public Future<RecordPage> read(RecordTopic topic, long firstOffset, long waitMillis) {
            return add(new Call(false, firstOffset, Promise.promise()));
        }

        @Override
        public Future<RecordPage> snapshot(RecordTopic topic) {
            return add(new Call(true, 0, Promise.promise()));
        }

        @Override
        public Future<Void> write(RecordTopic topic, String key, byte[] value) {
            return Future.succeededFuture();
        }

        @Override
        public void onEra(LongConsumer listener) {}

        private Future<RecordPage> add(Call call) {
            calls.add(call);
            return call.answer().future();
        }
    };

    private @Nullable RecordFollower follower;
    private StoreRole usualRole = StoreRole.FIRST_READER;
    private int routers = 1;

    @BeforeMethod
    public void start() {
        usualRole = StoreRole.FIRST_READER;
        routers = 1;
        state = new ForwardingState(RouterExchangeTest.NO_RECORDS, MonotonicClock.system());
        calls.clear();
        RecordFollower.Relay relay = (topic, records, mayHaveLapsed) -> {};
        follower = new RecordFollower(
                vertx,
                store,
                state,
                RecordTopic.OPERATORS,
                MonotonicClock.system(),
                relay,
                new RecordFollower.StoreReading(() -> usualRole, () -> usualRole, () -> routers, () -> 0.01));
        run(follower::start);
    }

    @AfterMethod
    public void stop() {
        run(follower::stop);
    }

    @AfterClass
    public void close() {
        vertx.close().await();
    }

    private void run(Runnable action) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        context.runOnContext(ignored -> {
            action.run();
            done.complete(null);
        });
        done.join();
    }

    private Call nextCall() throws InterruptedException {
        Call call = calls.poll(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        Assert.assertNotNull(call, "the store is not read");
        return call;
    }

    /** Answers as the store's client does: the era is announced before the call ends. */
    private void answer(Call call, long era, long endOffset, VersionedRecord... records) {
        answerPage(call, endOffset, era, endOffset, records);
    }

    private void answerPage(Call call, long logEndOffset, long era, long endOffset, VersionedRecord... records) {
        run(() -> {
            state.beginEra(era);
            call.answer().complete(new RecordPage(List.of(records), endOffset, logEndOffset, era));
        });
    }

    private Future<Void> readToEnd() {
        CompletableFuture<Future<Void>> read = new CompletableFuture<>();
        run(() -> read.complete(follower.readToEnd()));
        return read.join();
    }

    /** Reads a snapshot of era 1 that ends at offset 10, and returns the waiting read after it. */
    private Call readFirstEra() throws InterruptedException {
        answer(nextCall(), 1, 10, OTHER, record(9, "old"));
        Call waiting = nextCall();
        Assert.assertEquals(waiting.firstOffset(), 10);
        return waiting;
    }

    private String belief() {
        CompletableFuture<String> value = new CompletableFuture<>();
        run(() -> state.replica(RecordTopic.OPERATORS).allRecords().stream()
                .filter(known -> known.key().equals("config"))
                .forEach(known -> value.complete(new String(known.value(), StandardCharsets.UTF_8))));
        return value.join();
    }

    private static VersionedRecord record(long offset, String value) {
        return new VersionedRecord("config", offset, value.getBytes(StandardCharsets.UTF_8));
    }

    /** Guards against a second snapshot at each start, as the first answer names the era. */
    @Test
    public void firstAnswerIsUsedThoughItNamesTheEra() throws InterruptedException {
        Assert.assertFalse(readFirstEra().isSnapshot());
    }

    /** Guards against a wait for an answer that may come a second later, and against that answer. */
    @Test
    public void eraLearnedElsewhereReplacesTheWaitingRead() throws InterruptedException {
        Call waiting = readFirstEra();
        run(() -> state.beginEra(2));
        Call snapshot = nextCall();
        Assert.assertTrue(snapshot.isSnapshot());
        answer(snapshot, 2, 4, record(3, "new"));
        Assert.assertEquals(nextCall().firstOffset(), 4);
        answer(waiting, 1, 12, record(11, "late"));
        Assert.assertEquals(belief(), "new");
        Assert.assertTrue(calls.isEmpty(), "the late answer began another read");
    }

    /** Load: so much was written after the return that the position exists again, and the read is not refused. */
    @Test
    public void offsetsGivenOutAgainAreNotReadOn() throws InterruptedException {
        answer(readFirstEra(), 2, 11, record(10, "behind the position"));
        Call snapshot = nextCall();
        Assert.assertTrue(snapshot.isSnapshot());
        answer(snapshot, 2, 11, record(10, "behind the position"));
        Assert.assertEquals(belief(), "behind the position");
        Assert.assertEquals(nextCall().firstOffset(), 11);
    }

    /** Load: a snapshot was under way when the era began. */
    @Test
    public void snapshotOfAnEarlierEraIsReadAgain() throws InterruptedException {
        readFirstEra();
        run(() -> state.beginEra(2));
        Call overtaken = nextCall();
        run(() -> state.beginEra(3));
        answer(overtaken, 2, 5, record(4, "of era 2"));
        Call snapshot = nextCall();
        Assert.assertTrue(snapshot.isSnapshot());
        answer(snapshot, 3, 4, record(3, "of era 3"));
        Assert.assertEquals(belief(), "of era 3");
    }

    /** Load: the store counts its eras from 0, and a snapshot of the first one arrives late. */
    @Test
    public void lateSnapshotOfEraZeroIsReadAgain() throws InterruptedException {
        Call overtaken = nextCall();
        run(() -> state.beginEra(1));
        answer(overtaken, 0, 10, record(9, "of era 0"));
        Call snapshot = nextCall();
        Assert.assertTrue(snapshot.isSnapshot());
        answer(snapshot, 1, 4, record(3, "of era 1"));
        Assert.assertEquals(belief(), "of era 1");
    }

    /** Load: the store names no era, and its end lies before the position. */
    @Test
    public void lostEndIsRecognizedWithoutAnEra() throws InterruptedException {
        answer(nextCall(), 0, 10, OTHER, record(9, "old"));
        Call waiting = nextCall();
        run(() -> waiting.answer().fail(new RecordsExpiredException("read", 0, 0, 4)));
        answer(nextCall(), 0, 4, record(3, "new"));
        Assert.assertEquals(nextCall().firstOffset(), 4);
        Assert.assertEquals(belief(), "new");
    }

    /** Guards against snapshots of all routers at once. */
    @Test
    public void followersOfLargeDeploymentsDelayTheSnapshotOfAnEra() throws InterruptedException {
        readFirstEra();
        usualRole = StoreRole.FOLLOWER;
        routers = 60_000;
        run(() -> state.beginEra(2));
        Assert.assertNull(calls.poll(300, TimeUnit.MILLISECONDS), "the store is read at once");
        Call delayed = nextCall();
        Assert.assertTrue(delayed.isSnapshot());
        answer(delayed, 2, 4, record(3, "new"));
        usualRole = StoreRole.SECOND_READER;
        run(() -> state.beginEra(3));
        Assert.assertTrue(nextCall().isSnapshot());
    }

    /** Guards against a read each 100 ms by every router while the store answers with an earlier era. */
    @Test
    public void staleAnswersAreReadAgainEverLater() throws InterruptedException {
        readFirstEra();
        run(() -> state.beginEra(2));
        long startMillis = System.nanoTime() / 1_000_000;
        for (int stale = 0; stale < 4; stale++) {
            answer(nextCall(), 1, 10, OTHER);
        }
        nextCall();
        long elapsedMillis = System.nanoTime() / 1_000_000 - startMillis;
        Assert.assertTrue(elapsedMillis >= 100 + 200 + 400 + 400, "read again after " + elapsedMillis);
    }

    /** Guards against a log that begins anew in the middle of an era, since an answer to a snapshot was old. */
    @Test
    public void staleSnapshotOfANamedEraIsReadAgain() throws InterruptedException {
        Call waiting = readFirstEra();
        run(() -> waiting.answer().fail(new RecordsExpiredException("read", 1, 0, 4)));
        answer(nextCall(), 1, 4, record(3, "stale"));
        Call snapshot = nextCall();
        Assert.assertTrue(snapshot.isSnapshot(), "the stale snapshot was used");
        Assert.assertEquals(belief(), "old");
        answer(snapshot, 1, 12, record(11, "new"));
        Assert.assertEquals(nextCall().firstOffset(), 12);
        Assert.assertEquals(belief(), "new");
    }

    /** Guards against an answer that was under way before a freeze and is taken for a new one. */
    @Test
    public void readToTheEndIsSentAnewAndGoesOnToTheEnd() throws InterruptedException {
        Call waiting = readFirstEra();
        Future<Void> read = readToEnd();
        Call beside = nextCall();
        Assert.assertEquals(beside.firstOffset(), 10);
        answer(waiting, 1, 11, record(10, "under way"));
        Assert.assertFalse(read.isComplete(), "the answer to the earlier read counts");
        answerPage(beside, 13, 1, 12, record(11, "first page"));
        Assert.assertFalse(read.isComplete(), "the topic has another page");
        Call next = nextCall();
        while (next.firstOffset() != 12) {
            next = nextCall();
        }
        answer(next, 1, 13, record(12, "newest"));
        read.await();
        Assert.assertEquals(belief(), "newest");
    }

    /** Guards against a follower that reads all records since its last read, a minute ago, for each resumed stream. */
    @Test
    public void followerThatIsFarBehindTakesASnapshot() throws InterruptedException {
        readFirstEra();
        usualRole = StoreRole.FOLLOWER;
        Thread.sleep(5_100);
        Future<Void> read = readToEnd();
        Call snapshot = nextCall();
        Assert.assertTrue(snapshot.isSnapshot());
        answer(snapshot, 1, 900, record(899, "newest"));
        read.await();
        Assert.assertEquals(belief(), "newest");
        readToEnd();
        Assert.assertEquals(nextCall().firstOffset(), 900);
    }

    /** Guards against a log of another era that seems to have no newer records. */
    @Test
    public void readToTheEndFailsInAnotherEra() throws InterruptedException {
        readFirstEra();
        Future<Void> read = readToEnd();
        answer(nextCall(), 2, 10);
        Assert.assertTrue(read.failed(), "an answer of era 2 confirms the log of era 1");
        Assert.assertTrue(nextCall().isSnapshot());
        Assert.assertTrue(readToEnd().failed(), "a topic that is read anew is confirmed");
    }

    /** Guards against an old snapshot that confirms what another router has relayed since. */
    @Test
    public void readToTheEndFailsWithASnapshotBeforeThePosition() throws InterruptedException {
        readFirstEra();
        usualRole = StoreRole.FOLLOWER;
        Thread.sleep(5_100);
        Future<Void> read = readToEnd();
        answer(nextCall(), 1, 9, record(8, "older"));
        Assert.assertTrue(read.failed());
        Assert.assertEquals(belief(), "old");
    }
}
