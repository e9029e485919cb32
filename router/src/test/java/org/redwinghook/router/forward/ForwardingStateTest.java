package org.redwinghook.router.forward;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.LongConsumer;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.EndpointTable;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.StoreRole;
import org.redwinghook.core.replica.VersionedRecord;
import org.testng.Assert;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against one record, or one error, that ends the reading of all later records. */
public class ForwardingStateTest {

    private static final byte DRAINING = 2;
    private static final String MALFORMED = "malformed";
    private static final long READ_TIMEOUT_MILLIS = 5_000;

    private static final RecordDecoder FAILING_ON_MALFORMED = new RecordDecoder() {
        @Override
        public Optional<OperatorRecord> decodeOperatorRecord(VersionedRecord record) {
            throw new IllegalStateException("undecodable");
        }

        @Override
        public Optional<EndpointEntry> decodeEndpoint(VersionedRecord record) {
            if (record.key().equals(MALFORMED)) {
                throw new IllegalStateException("undecodable");
            }
            return Optional.of(new EndpointEntry(
                    record.key(),
                    "calls",
                    "127.0.0.1",
                    1,
                    "dc",
                    1,
                    record.value()[0] == DRAINING,
                    0,
                    record.offset() / 10,
                    ""));
        }
    };

    private ForwardingState state = new ForwardingState(FAILING_ON_MALFORMED, MonotonicClock.system());

    @BeforeMethod
    public void createState() {
        state = new ForwardingState(FAILING_ON_MALFORMED, MonotonicClock.system());
    }

    private static VersionedRecord record(String key, long offset) {
        return new VersionedRecord(key, offset, new byte[] {1});
    }

    @Test
    public void recordsBehindAMalformedOneAreApplied() {
        List<String> changed = new ArrayList<>();
        state.onChange((topic, records) -> records.forEach(record -> changed.add(record.key())));
        state.apply(RecordTopic.ENDPOINTS, 0, List.of(record("e-1", 0), record(MALFORMED, 1), record("e-2", 2)), false);
        Assert.assertTrue(state.endpoints().find("e-1").isPresent());
        Assert.assertTrue(state.endpoints().find("e-2").isPresent());
        Assert.assertTrue(state.endpoints().find(MALFORMED).isEmpty());
        Assert.assertEquals(changed, List.of("e-1", MALFORMED, "e-2"));
        state.apply(RecordTopic.OPERATORS, 0, List.of(record("config", 0)), false);
        Assert.assertTrue(state.configuration().isEmpty());
    }

    /** Guards against moves that start twice, and against a notice that concerns the next start of an engine. */
    @Test
    public void reportAndRecordOfADepartureAreHandledOnce() {
        List<String> leaving = new ArrayList<>();
        state.onEndpointLeaving(endpoint -> leaving.add(endpoint.entry().id()));
        state.apply(RecordTopic.ENDPOINTS, 0, List.of(record("m-1", 0)), false);
        state.recordLeaveNotice(state.endpoints().find("m-1").get(), 1_500);
        state.recordLeaveNotice(state.endpoints().find("m-1").get(), 1_400);
        state.apply(RecordTopic.ENDPOINTS, 0, List.of(new VersionedRecord("m-1", 1, new byte[] {DRAINING})), false);
        Assert.assertEquals(leaving, List.of("m-1"));
        Assert.assertTrue(state.endpoints().find("m-1").get().hasLeaveNotice());
        state.apply(RecordTopic.ENDPOINTS, 0, List.of(record("m-1", 10)), false);
        Assert.assertFalse(state.endpoints().find("m-1").get().isLeaving());
    }

    /**
     * Load: the store came back from a copy without a server, a router and a withdrawal. Guards against entries that are
     * lost before their writers could write them again, or served for ever.
     */
    @Test
    public void lostEntriesStayForTheTimeOfTheirWriters() {
        long[] now = {50_000};
        ForwardingState timed = new ForwardingState(FAILING_ON_MALFORMED, () -> now[0]);
        for (RecordTopic topic : RecordTopic.values()) {
            timed.applySnapshot(topic, 1, List.of(record("a", 1), record("b", 4)), 5, false);
        }
        for (RecordTopic topic : RecordTopic.values()) {
            timed.applySnapshot(topic, 2, List.of(record("a", 1)), 2, false);
        }
        now[0] += EndpointTable.REREGISTRATION_GRACE_MILLIS - 1;
        timed.removeLapsedEntries();
        Assert.assertTrue(timed.endpoints().find("b").isPresent());
        Assert.assertEquals(presentRecords(timed, RecordTopic.ROUTERS), 2);
        now[0]++;
        timed.removeLapsedEntries();
        Assert.assertTrue(timed.endpoints().find("a").isPresent());
        Assert.assertTrue(timed.endpoints().find("b").isEmpty());
        Assert.assertEquals(presentRecords(timed, RecordTopic.ROUTERS), 1);
        Assert.assertEquals(presentRecords(timed, RecordTopic.OPERATORS), 2);
    }

    private static long presentRecords(ForwardingState state, RecordTopic topic) {
        return state.replica(topic).allRecords().stream()
                .filter(record -> record.value() != null)
                .count();
    }

    @Test
    public void readingContinuesAfterAnErrorOfAListener() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            CountingStore store = new CountingStore();
            vertx.runOnContext(ignored -> new RecordFollower(
                            vertx,
                            store,
                            state,
                            RecordTopic.ENDPOINTS,
                            MonotonicClock.system(),
                            (topic, records, mayHaveLapsed) -> {
                                throw new IllegalStateException("listener failed");
                            },
                            new RecordFollower.StoreReading(
                                    () -> StoreRole.FIRST_READER, () -> StoreRole.FIRST_READER, () -> 1, () -> 0))
                    .start());
            long end = System.nanoTime() + READ_TIMEOUT_MILLIS * 1_000_000;
            while (store.reads < 3 && System.nanoTime() < end) {
                Thread.sleep(10);
            }
            Assert.assertTrue(store.reads >= 3, "reads " + store.reads);
        } finally {
            vertx.close().await();
        }
    }

    /** Store whose reads return one record each. */
    private static final class CountingStore implements RecordStore {

        private volatile int reads;

        @Override
        public Future<RecordPage> read(RecordTopic topic, long firstOffset, long waitMillis) {
            reads++;
            return Future.succeededFuture(
                    new RecordPage(List.of(record("e-" + reads, firstOffset)), firstOffset + 1, firstOffset + 1, 0));
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
    }
}
