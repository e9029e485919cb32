package org.redwinghook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;

import io.micrometer.core.instrument.composite.CompositeMeterRegistry;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.forward.EndpointEligibility;
import org.redwinghook.core.forward.EndpointEntry;
import org.redwinghook.core.forward.KnownEndpoint;
import org.redwinghook.core.forward.RequestScope;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.quarantine.PromptQuarantine;
import org.redwinghook.core.replica.RecordTopic;
import org.redwinghook.core.replica.VersionedRecord;
import org.redwinghook.core.rollout.ObservedAttempt;
import org.redwinghook.core.rollout.RolloutLimits;
import org.redwinghook.core.rollout.RolloutOrder;
import org.redwinghook.core.rollout.RolloutState;
import org.redwinghook.core.rollout.RolloutStatus;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that go to a version which no order allows when orders change or a router starts late. */
public class RolloutTrackerTest {

    private static final long DURATION_MILLIS = 12_000;
    private static final int REQUESTS = 200;

    private Vertx vertx = Vertx.vertx();

    @BeforeClass
    public void open() {
        vertx = Vertx.vertx();
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        vertx.close().await();
    }

    /** A change after which the eligible versions are checked. */
    private interface Script {

        void run(Router router);
    }

    /** A router without connections, whose event loop runs the script. */
    private final class Router implements RecordDecoder {

        private final FakeRolloutStore store = new FakeRolloutStore();
        private final ForwardingState state = new ForwardingState(this, () -> now());
        private final EndpointEligibility eligibility = new EndpointEligibility(state.endpoints());
        private final RolloutTracker tracker;
        private long nowMillis;
        private long offset;

        Router() {
            MonotonicClock clock = this::now;
            ForwardMetrics metrics = new ForwardMetrics(new CompositeMeterRegistry());
            WorkLedger ledger = new WorkLedger();
            PromptGuard guard = new PromptGuard(new PromptQuarantine("router-1"), clock, metrics);
            RouterExchange exchange = new RouterExchange(vertx, "router-1", state, ledger, clock, guard);
            tracker = new RolloutTracker(
                    new RolloutContext(vertx, state, exchange, ledger, store, clock, metrics),
                    () -> RolloutLimits.DEFAULT,
                    "router-1",
                    1);
            tracker.start();
            eligibility.addRule(new RolloutRule(tracker, state.endpoints(), eligibility));
        }

        private long now() {
            return nowMillis;
        }

        @Override
        public Optional<OperatorRecord> decodeOperatorRecord(VersionedRecord record) {
            byte[] value = record.value();
            RolloutOrder order = value == null
                    ? null
                    : new RolloutOrder(
                            "calls", new String(value, StandardCharsets.UTF_8), DURATION_MILLIS, record.offset());
            return Optional.of(new OperatorRecord.Rollout("calls", order));
        }

        @Override
        public Optional<EndpointEntry> decodeEndpoint(VersionedRecord record) {
            return Optional.of(record.key())
                    .filter(key -> record.value() != null)
                    .map(key -> new EndpointEntry(key, "calls", "10.0.0.1", 1, "dc", 1, false, 0, 0, key));
        }

        private Router list(String... versions) {
            for (String version : versions) {
                apply(RecordTopic.ENDPOINTS, version, "listed");
            }
            return this;
        }

        private Router order(String to) {
            apply(RecordTopic.OPERATORS, "rollout/calls", to);
            return advance(200);
        }

        private void apply(RecordTopic topic, String key, String value) {
            byte[] bytes = value.isEmpty() ? null : value.getBytes(StandardCharsets.UTF_8);
            state.apply(topic, store.era, List.of(new VersionedRecord(key, offset, bytes)), false);
            offset++;
        }

        /** The store comes back from a copy without records and statuses; the operators write again as given. */
        private Router returnFromCopy(String to) {
            offset = 0;
            store.statuses.clear();
            store.era++;
            state.beginEra(store.era);
            advance(1_000);
            state.applySnapshot(RecordTopic.OPERATORS, store.era, List.of(), 0, false);
            return to.isEmpty() ? advance(1_000) : order(to).advance(1_000);
        }

        private Router advance(long millis) {
            for (long end = nowMillis + millis; nowMillis < end; nowMillis += 100) {
                tracker.advanceAll();
            }
            return this;
        }

        /** Uses a part of the requests that the version of the order may receive during its trial. */
        private Router expose(int attempts) {
            for (int number = 0; number < attempts; number++) {
                ObservedAttempt attempt = new ObservedAttempt("route", "v2", true, false, nowMillis);
                Objects.requireNonNull(tracker.find("calls")).decision().recordStart(attempt);
            }
            return this;
        }

        /** Number of resumed streams, each with its own identifier, that may go on at a version. */
        private long countResumable(String version) {
            return IntStream.range(0, REQUESTS)
                    .mapToObj(index -> new RequestScope("request-" + index, "calls", "route", null, Set.of(), version))
                    .filter(scope ->
                            !eligibility.eligibleEndpoints(scope, nowMillis).isEmpty())
                    .count();
        }

        /** Versions to which any of many requests may go, all or those that continue streams of one version. */
        private Set<String> eligibleVersions(@Nullable String requiredVersion) {
            Set<String> versions = new TreeSet<>();
            for (int index = 0; index < REQUESTS; index++) {
                RequestScope scope =
                        new RequestScope("request-" + index, "calls", "route", null, Set.of(), requiredVersion);
                for (KnownEndpoint endpoint : eligibility.eligibleEndpoints(scope, nowMillis)) {
                    versions.add(endpoint.entry().version());
                }
            }
            return versions;
        }
    }

    /** Scripts, the versions that requests may go to afterwards, and the newest status. */
    @DataProvider
    Object[][] scripts() {
        RolloutStatus none = null;
        RolloutStatus runningV2 = new RolloutStatus(RolloutState.RUNNING, "v2");
        RolloutStatus revertedV2 = new RolloutStatus(RolloutState.REVERTED, "v2");
        return new Object[][] {
            {"no order", (Script) router -> router.list("v1", "v2"), Set.of("v1", "v2"), none},
            {"trial", (Script) router -> router.list("v1", "v2").order("v2"), Set.of("v1", "v2"), runningV2},
            {
                "versions recorded among the routers",
                (Script) router -> {
                    router.apply(RecordTopic.ROUTERS, "version/calls/v1", "recorded");
                    router.apply(RecordTopic.ROUTERS, "version/calls/v2", "recorded");
                    router.list("v1", "v2").order("v2");
                },
                Set.of("v1", "v2"),
                runningV2
            },
            {
                "no evidence",
                (Script) router -> router.list("v1", "v2").order("v2").advance(11_000),
                Set.of("v1"),
                revertedV2
            },
            {"no endpoint", (Script) router -> router.list("v1").order("v2").advance(11_000), Set.of("v1"), revertedV2},
            {
                "same order after its end",
                (Script) router -> router.list("v1", "v2")
                        .order("v2")
                        .advance(11_000)
                        .order("v2")
                        .advance(500),
                Set.of("v1"),
                revertedV2
            },
            {
                "other order during one",
                (Script)
                        router -> router.list("v1", "v2").order("v2").list("v3").order("v3"),
                Set.of("v1", "v3"),
                new RolloutStatus(RolloutState.RUNNING, "v3")
            },
            {
                "back to the old version",
                (Script) router ->
                        router.list("v1", "v2").order("v2").order("v1").advance(500),
                Set.of("v1"),
                new RolloutStatus(RolloutState.COMPLETE, "v1")
            },
            {
                "order removed",
                (Script) router -> router.list("v1", "v2").order("v2").order(""),
                Set.of("v1"),
                runningV2
            },
            {
                "only the version of the order",
                (Script) router -> router.list("v2").order("v2"),
                Set.of("v2"),
                new RolloutStatus(RolloutState.COMPLETE, "v2")
            },
            {
                "status lost",
                (Script) router -> router.list("v1", "v2").order("v2").returnFromCopy(""),
                Set.of("v1", "v2"),
                runningV2
            },
            {
                "final status lost",
                (Script) router ->
                        router.list("v1", "v2").order("v2").advance(11_000).returnFromCopy("v2"),
                Set.of("v1"),
                revertedV2
            },
            {
                "order and status of a replaced order lost",
                (Script)
                        router -> router.list("v1", "v2").order("v2").list("v3").returnFromCopy("v3"),
                Set.of("v1", "v3"),
                new RolloutStatus(RolloutState.RUNNING, "v3")
            },
            {
                "router starts after the end",
                (Script) router -> {
                    router.store.add(RolloutState.COMPLETE, "v2");
                    router.list("v1", "v2").order("v2");
                },
                Set.of("v2"),
                new RolloutStatus(RolloutState.COMPLETE, "v2")
            },
            {
                "router starts after a replaced order",
                (Script) router -> {
                    router.store.add(RolloutState.RUNNING, "v2");
                    router.list("v1", "v2").order("v1").advance(500);
                },
                Set.of("v1"),
                new RolloutStatus(RolloutState.COMPLETE, "v1")
            },
        };
    }

    @Test(dataProvider = "scripts")
    public void requestsGoOnlyToAllowedVersions(String name, Script script, Set<String> expected, RolloutStatus newest)
            throws Exception {
        runOnEventLoop(() -> {
            Router router = new Router();
            script.run(router);
            Assert.assertEquals(router.eligibleVersions(null), new TreeSet<>(expected), name);
            for (String version : List.of("v1", "v2", "v3")) {
                Set<String> ofStreams = expected.contains(version) ? Set.of(version) : Set.of();
                Assert.assertEquals(router.eligibleVersions(version), ofStreams, name);
            }
            List<RolloutStatus> statuses = router.store.statuses;
            Assert.assertEquals(statuses.isEmpty() ? null : statuses.get(statuses.size() - 1), newest, name);
            Assert.assertTrue(newest != null || router.store.reads == 0, "calls without an order");
        });
    }

    /**
     * A resumed stream has an identifier of its own, by which a trial would send it to the old version only, so that it is
     * refused although its version serves. Exposure stays limited: the allowance of this router is 50 attempts.
     */
    @Test
    public void streamsOfTriedVersionGoOnWithinAllowance() throws Exception {
        runOnEventLoop(() -> {
            Router router = new Router().list("v1", "v2").order("v2").expose(46);
            Assert.assertEquals(router.countResumable("v2"), REQUESTS, "rescue share used up");
            Assert.assertEquals(router.countResumable("v1"), REQUESTS, "old version");
            Assert.assertEquals(router.expose(3).countResumable("v2"), 0, "allowance used up");
            Assert.assertEquals(
                    new Router().list("v1", "v2").order("v2").advance(11_000).countResumable("v2"), 0, "reverted");
        });
    }

    private void runOnEventLoop(Runnable script) throws Exception {
        Promise<Void> done = Promise.promise();
        vertx.runOnContext(ignored -> {
            try {
                script.run();
                done.complete();
            } catch (AssertionError error) {
                done.fail(error);
            }
        });
        done.future().timeout(5, TimeUnit.SECONDS).await();
    }
}
