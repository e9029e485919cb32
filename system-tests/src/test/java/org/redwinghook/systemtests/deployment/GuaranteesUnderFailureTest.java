package org.redwinghook.systemtests.deployment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.standins.engine.ColdOverload;
import org.redwinghook.standins.engine.ColdStart;
import org.redwinghook.systemtests.deployment.Caller.Ending;
import org.redwinghook.systemtests.history.Bounds;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.Guarantee;
import org.redwinghook.systemtests.history.History;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Provokes the failure of each guarantee, in their order. */
@Test(singleThreaded = true)
public final class GuaranteesUnderFailureTest {

    private static final long ANSWER_MILLIS = 20_000;
    private static final int LONG_ANSWER = 500;
    private static final int SHORT_ANSWER = 5;

    /** Longer than the time after which a withdrawn place receives no new work. */
    private static final long WITHDRAWN_MILLIS = Bounds.TARGET.noNewWorkMillis() + 1_500;

    private ExecutorService executor = Executors.newCachedThreadPool();
    private History history = new History();
    private Deployment deployment = new Deployment(history, ColdStart.NONE);
    private Caller caller = new Caller(history, List.of());

    @BeforeMethod(alwaysRun = true)
    public void startDeployment() {
        start(ColdStart.NONE);
    }

    @AfterMethod(alwaysRun = true)
    public void stopDeployment() {
        executor.shutdownNow();
        deployment.close();
    }

    /** Guards against lost, doubled or mixed tokens when the connection to the sidecar breaks in an answer. */
    @Test
    public void cutConnectionToSidecarIsResumed() {
        Future<Ending> answer = longAnswer("long", 0);
        for (int cut = 0; cut < 3; cut++) {
            awaitTokens("long", (cut + 1) * 50);
            deployment.vms(ServiceKind.ENGINE).forEach(vm -> {
                deployment.peerLink(vm).set(Relay.Mode.CUT);
                deployment.peerLink(vm).set(Relay.Mode.PASS);
            });
        }
        assertEquals(get(answer), Ending.WHOLE);
        assertGuarantees();
    }

    /** Guards against lost or doubled tokens when the router dies and the caller continues through another one. */
    @Test
    public void callerContinuesThroughAnotherRouter() {
        Future<Ending> answer = longAnswer("long", 0);
        awaitTokens("long", 50);
        deployment.kill(router(0));
        assertEquals(get(answer), Ending.WHOLE);
        assertGuarantees();
    }

    /** Guards against an answer that is called whole, or continued by another generation, after its engine died. */
    @Test
    public void answerOfDeadEngineIsMarkedAsInterrupted() {
        Future<Ending> answer = longAnswer("long", 0);
        awaitTokens("long", 50);
        deployment.engine(endpointOf("long")).crash(100);
        assertEquals(get(answer), Ending.INTERRUPTED);
        assertGuarantees();
    }

    /** Guards against a burst that a freshly started engine cannot take. */
    @Test
    public void freshEngineSurvivesBurst() {
        stopDeployment();
        start(new ColdStart(100, 4, 4, ColdOverload.SLOW));
        List<Future<Ending>> answers = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            String request = "burst-" + number;
            int router = number;
            answers.add(executor.submit(() -> caller.generation(request, SHORT_ANSWER, false, router)));
        }
        answers.forEach(GuaranteesUnderFailureTest::get);
        assertGuarantees();
    }

    /** Guards against new work in a data centre that is out, and against answers that its withdrawal cuts. */
    @Test
    public void dataCentreThatIsOutReceivesNoNewWork() {
        Future<Ending> answer = longAnswer("long", 0);
        awaitTokens("long", 1);
        Vm engine = endpointOf("long");
        Future<Integer> load = load(WITHDRAWN_MILLIS);
        deployment.move(engine.dataCentre(), true);
        assertEquals(get(answer), Ending.WHOLE);
        assertTrue(get(load) > 0, "no request was answered meanwhile");
        assertGuarantees();
    }

    /** Guards against answers that reach another request when they arrive late. */
    @Test
    public void lateAnswersReachNobodyElse() {
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(vm ->
                        deployment.plainService(vm).faults().update(faults -> faults.withAnswerDelayMillis(2_100)));
        List<Future<Ending>> late = lookups("late-");
        assertTrue(Deployment.await(ANSWER_MILLIS, () -> caller.running().size() == late.size()));
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(vm -> deployment.plainService(vm).faults().update(faults -> faults.withAnswerDelayMillis(0)));
        late.forEach(GuaranteesUnderFailureTest::get);
        for (Future<Ending> lookup : lookups("next-")) {
            assertEquals(get(lookup), Ending.WHOLE);
        }
        assertGuarantees();
    }

    /** Guards against a refusal as "not run" whose intent takes effect when the append arrives late. */
    @Test
    public void refusedOrderDoesNotRunLater() {
        deployment.log().faults().update(faults -> faults.withApplyLate(100, 2_500));
        List<Future<Ending>> orders = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            String order = "order-" + number;
            int router = number;
            orders.add(executor.submit(() -> caller.order(order, order, "key-" + order, router)));
        }
        for (Future<Ending> order : orders) {
            assertEquals(get(order), Ending.NOT_RUN);
        }
        deployment.log().faults().update(faults -> faults.withApplyLate(0, 0));
        // The late records are on the log once this order, which is appended behind them, has run.
        Deployment.pause(2_600);
        assertTrue(Deployment.await(
                ANSWER_MILLIS, () -> caller.order("last" + System.nanoTime(), "last", "key-last", 0) == Ending.WHOLE));
        assertGuarantees();
    }

    /** Guards against a refusal as "not run" of an order that took effect before its endpoint died. */
    @Test
    public void orderWithLostAnswerIsUnknown() {
        assertLostAnswerIsUnknown(null);
    }

    /** Guards against the same for an order with a key. */
    @Test
    public void keyedOrderWithLostAnswerIsUnknown() {
        assertLostAnswerIsUnknown("key");
    }

    /** Guards against a second run of a keyed order when appends are lost, a router dies and another one retries. */
    @Test
    public void keyedOrderRunsOnceThroughKillsAndRetries() {
        deployment.log().faults().update(faults -> faults.withLoseAnswerEvery(2));
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(
                        vm -> deployment.plainService(vm).faults().update(faults -> faults.withAnswerDelayMillis(300)));
        List<Future<?>> orders = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            String order = "order-" + number;
            for (int router = 0; router < 2; router++) {
                int first = router;
                orders.add(executor.submit(() -> retry(order, first)));
            }
        }
        assertTrue(Deployment.await(ANSWER_MILLIS, () -> effects() > 0));
        deployment.kill(router(0));
        deployment.kill(deployment.vms(ServiceKind.PLAIN).get(0));
        deployment.startProcess(router(0));
        deployment.startProcess(deployment.vms(ServiceKind.PLAIN).get(0));
        orders.forEach(GuaranteesUnderFailureTest::get);
        assertGuarantees();
    }

    /** Guards against new work for a VM that the platform's list marks as leaving. */
    @Test
    public void leavingVmReceivesNoNewWork() {
        Vm leaving = deployment.vms(ServiceKind.ENGINE).get(0);
        Future<Integer> load = load(WITHDRAWN_MILLIS);
        deployment.vmList().setLeaving(leaving.name(), true);
        history.add(new Event.TakenOut(Deployment.now(), leaving.name()));
        assertTrue(get(load) > 0, "no request was answered meanwhile");
        assertGuarantees();
    }

    /** Guards against a planned stop of a router that cuts an answer. */
    @Test
    public void plannedStopOfRouterCutsNothing() {
        List<Future<Ending>> answers = List.of(longAnswer("long", 0), order("slow", 0));
        awaitTokens("long", 1);
        plannedStop(router(0));
        answers.forEach(answer -> assertEquals(get(answer), Ending.WHOLE));
        assertGuarantees();
    }

    /** Guards against a planned stop of a sidecar that cuts an answer or loses an outcome. */
    @Test
    public void plannedStopOfSidecarCutsNothing() {
        List<Future<Ending>> answers = List.of(longAnswer("long", 0), order("slow", 0));
        awaitTokens("long", 1);
        assertTrue(Deployment.await(ANSWER_MILLIS, () -> effects() > 0));
        plannedStop(endpointOf("long"));
        deployment.vms(ServiceKind.PLAIN).forEach(this::plannedStop);
        answers.forEach(answer -> assertEquals(get(answer), Ending.WHOLE));
        assertGuarantees();
    }

    /** Guards against an older configuration, or none, in processes that restart during an outage of the log. */
    @Test
    public void configurationStaysInForceAcrossRestartsDuringAnOutage() {
        deployment.publish("owners", Map.of("acme", "{\"weight\": 3}"));
        assertTrue(Deployment.await(Bounds.TARGET.inForceMillis(), this::lastChangeIsInForce));
        deployment.log().faults().update(faults -> faults.withDown(true));
        for (Vm vm : List.of(router(0), deployment.vms(ServiceKind.ENGINE).get(0))) {
            deployment.kill(vm);
            deployment.startProcess(vm);
        }
        assertTrue(Deployment.await(Bounds.TARGET.inForceMillis(), this::lastChangeIsInForce));
        deployment.log().faults().update(faults -> faults.withDown(false));
        deployment.publish("owners", Map.of("acme", "{\"weight\": 4}"));
        assertTrue(Deployment.await(Bounds.TARGET.inForceMillis(), this::lastChangeIsInForce));
        assertGuarantees();
    }

    private void start(ColdStart coldStart) {
        executor = Executors.newCachedThreadPool();
        history = new History();
        deployment = new Deployment(history, coldStart);
        deployment.start();
        caller = new Caller(history, deployment.vms(null));
        for (int router = 0; router < 2; router++) {
            int current = router;
            assertTrue(Deployment.await(
                    ANSWER_MILLIS, () -> caller.lookup("warm-" + System.nanoTime(), current) == Ending.WHOLE));
        }
        assertTrue(Deployment.await(Bounds.TARGET.inForceMillis(), this::lastChangeIsInForce));
    }

    private void assertLostAnswerIsUnknown(@Nullable String key) {
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(vm -> deployment.plainService(vm).faults().update(faults -> faults.withDieAfterEffectNext(1)));
        assertEquals(caller.order("order", "order", key, 0), Ending.UNKNOWN);
        assertEquals(effects(), 1);
        assertGuarantees();
    }

    private void assertGuarantees() {
        deployment.recordWork();
        assertEquals(Guarantee.allViolations(history, Bounds.TARGET), List.of());
    }

    private boolean lastChangeIsInForce() {
        List<Event.ChangeAccepted> accepted = history.of(Event.ChangeAccepted.class);
        Event.ChangeAccepted last = accepted.get(accepted.size() - 1);
        return history.of(Event.ProcessStarted.class).stream()
                .filter(start -> history.of(Event.ProcessEnded.class).stream()
                        .noneMatch(end -> end.incarnation() == start.incarnation()))
                .allMatch(start -> history.of(Event.VersionInForce.class).stream()
                        .anyMatch(version -> version.incarnation() == start.incarnation()
                                && version.section().equals(last.section())
                                && version.version() >= last.version()));
    }

    private Vm router(int number) {
        return deployment.vms(null).get(number);
    }

    private Future<Ending> longAnswer(String request, int router) {
        return executor.submit(() -> caller.generation(request, LONG_ANSWER, true, router));
    }

    private Future<Ending> order(String request, int router) {
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(vm ->
                        deployment.plainService(vm).faults().update(faults -> faults.withAnswerDelayMillis(1_000)));
        return executor.submit(() -> caller.order(request, request, "key-" + request, router));
    }

    private void plannedStop(Vm vm) {
        history.add(new Event.PlannedStop(Deployment.now(), vm.name(), caller.running()));
        deployment.stopGracefully(vm);
    }

    private List<Future<Ending>> lookups(String prefix) {
        List<Future<Ending>> lookups = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            String request = prefix + number;
            int router = number;
            lookups.add(executor.submit(() -> caller.lookup(request, router)));
        }
        return lookups;
    }

    private Ending retry(String order, int router) {
        Ending ending = Ending.NOT_SENT;
        for (int attempt = 0; attempt < 4 && ending != Ending.WHOLE; attempt++) {
            ending = caller.order(order + "-" + router + "-" + attempt, order, "key-" + order, router + attempt);
        }
        return ending;
    }

    private Future<Integer> load(long millis) {
        long end = Deployment.now() + millis;
        AtomicInteger number = new AtomicInteger();
        return executor.submit(() -> {
            int whole = 0;
            while (Deployment.now() < end) {
                int current = number.incrementAndGet();
                Ending ending = caller.generation("load-" + current, SHORT_ANSWER, false, current);
                whole += ending == Ending.WHOLE ? 1 : 0;
            }
            return whole;
        });
    }

    private void awaitTokens(String request, int tokens) {
        Supplier<Long> received = () -> history.of(Event.TokenReceived.class).stream()
                .filter(token -> token.request().equals(request))
                .count();
        assertTrue(
                Deployment.await(ANSWER_MILLIS, () -> received.get() >= tokens),
                request + " received only " + received.get() + " tokens");
    }

    private Vm endpointOf(String request) {
        return deployment.vms(ServiceKind.ENGINE).stream()
                .filter(vm -> deployment.engine(vm).requests().stream()
                        .anyMatch(run -> run.prompt().equals(request)))
                .findFirst()
                .orElseThrow();
    }

    private long effects() {
        return deployment.vms(ServiceKind.PLAIN).stream()
                .mapToLong(vm -> deployment.plainService(vm).effects().size())
                .sum();
    }

    private static <T> T get(Future<T> future) {
        try {
            return future.get(ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        } catch (ExecutionException | TimeoutException exception) {
            throw new AssertionError(exception);
        }
    }
}
