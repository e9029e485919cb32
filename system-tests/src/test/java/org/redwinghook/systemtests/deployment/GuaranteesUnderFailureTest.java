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
import java.util.function.IntFunction;
import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.standins.engine.ColdOverload;
import org.redwinghook.standins.engine.ColdStart;
import org.redwinghook.standins.relay.Relay;
import org.redwinghook.systemtests.deployment.Caller.RequestOutcome;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.Guarantee;
import org.redwinghook.systemtests.history.History;
import org.redwinghook.systemtests.history.TimeBounds;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

/** Tests each guarantee, in the order of {@link Guarantee}, under the failures that may violate it. */
@Test(singleThreaded = true)
public final class GuaranteesUnderFailureTest {

    private static final long ANSWER_TIMEOUT_MILLIS = 20_000;
    /** Delay of an answer, longer than the time after which a router gives up waiting for it. */
    private static final long LATE_ANSWER_MILLIS = 3_000;
    /** Delay that refusals ask for in Retry-After. */
    private static final long RETRY_DELAY_MILLIS = 1_000;

    private static final int LONG_ANSWER_TOKENS = 500;
    private static final int SHORT_ANSWER_TOKENS = 5;

    /** Duration of load, longer than the time after which a withdrawn data centre or endpoint gets no new work. */
    private static final long LOAD_DURATION_MILLIS = TimeBounds.TARGET.maximumWithdrawalMillis() + 1_500;

    private ExecutorService executor = Executors.newCachedThreadPool();
    private History history = new History();
    private Deployment deployment = new Deployment(history, ColdStart.NONE);
    private Caller caller = new Caller(history, List.of());

    @BeforeMethod(alwaysRun = true)
    public void startDeployment() {
        startDeploymentWith(ColdStart.NONE);
    }

    @AfterMethod(alwaysRun = true)
    public void stopDeployment() {
        executor.shutdownNow();
        deployment.close();
    }

    /** Guards against lost, duplicate or mixed tokens when the connection to the sidecar breaks during an answer. */
    @Test
    public void answerResumesAfterSidecarConnectionBreaks() {
        Future<RequestOutcome> answer = requestLongAnswer("long", 0);
        for (int disconnections = 0; disconnections < 3; disconnections++) {
            awaitTokens("long", (disconnections + 1) * 50);
            deployment.vms(ServiceKind.ENGINE).forEach(vm -> {
                deployment.peerLink(vm).setMode(Relay.Mode.DISCONNECT);
                deployment.peerLink(vm).setMode(Relay.Mode.FORWARD);
            });
        }
        assertEquals(getResult(answer), RequestOutcome.COMPLETED);
        assertGuarantees();
    }

    /** Guards against lost or duplicate tokens when the router is killed and the caller resumes through another one. */
    @Test
    public void callerContinuesThroughAnotherRouter() {
        Future<RequestOutcome> answer = requestLongAnswer("long", 0);
        awaitTokens("long", 50);
        deployment.kill(router(0));
        assertEquals(getResult(answer), RequestOutcome.COMPLETED);
        assertGuarantees();
    }

    /** Guards against a crash of an engine after which the answer is completed or continued by another generation. */
    @Test
    public void answerOfCrashedEngineIsMarkedAsInterrupted() {
        Future<RequestOutcome> answer = requestLongAnswer("long", 0);
        awaitTokens("long", 50);
        deployment.engine(findEngineRunning("long")).crash(100);
        assertEquals(getResult(answer), RequestOutcome.INTERRUPTED);
        assertGuarantees();
    }

    /** Guards against a burst that overloads an engine which has just started. */
    @Test
    public void burstDoesNotOverloadColdEngine() {
        stopDeployment();
        startDeploymentWith(new ColdStart(100, 4, 4, ColdOverload.SLOW));
        List<Future<RequestOutcome>> answers = new ArrayList<>();
        for (int number = 0; number < 40; number++) {
            String request = "burst-" + number;
            int router = number;
            answers.add(executor.submit(() -> caller.generate(request, SHORT_ANSWER_TOKENS, false, router)));
        }
        answers.forEach(GuaranteesUnderFailureTest::getResult);
        assertGuarantees();
    }

    /** Guards against new work in a withdrawn data centre, and against answers that the withdrawal interrupts. */
    @Test
    public void withdrawnDataCentreReceivesNoNewWork() {
        Future<RequestOutcome> answer = requestLongAnswer("long", 0);
        awaitTokens("long", 1);
        Vm engine = findEngineRunning("long");
        Future<Integer> load = startLoad(LOAD_DURATION_MILLIS);
        deployment.setWithdrawn(engine.dataCentre(), true);
        assertEquals(getResult(answer), RequestOutcome.COMPLETED);
        assertTrue(getResult(load) > 0, "no request was answered during the load");
        assertGuarantees();
    }

    /**
     * Guards against late answers that are delivered to another request. The answers arrive after their callers have
     * given up and while the next lookups wait for the slots that the late ones hold.
     */
    @Test
    public void lateAnswersReachNobodyElse() {
        setAnswerDelay(LATE_ANSWER_MILLIS);
        List<RequestOutcome> lateOutcomes = sendLookups(number -> caller.lookUp("late-" + number, number));
        setAnswerDelay(0);
        assertTrue(lateOutcomes.contains(RequestOutcome.UNKNOWN), "no answer was late: " + lateOutcomes);
        assertFalse(lateOutcomes.contains(RequestOutcome.COMPLETED), "an answer was not late: " + lateOutcomes);
        for (RequestOutcome outcome : sendLookups(this::lookUpUntilRun)) {
            assertEquals(outcome, RequestOutcome.COMPLETED);
        }
        assertGuarantees();
    }

    /** Guards against an order that is refused as "not run" and runs once its intent is appended late. */
    @Test
    public void refusedOrderDoesNotRunLater() {
        deployment.log().faults().update(faults -> faults.withApplyLate(100, 2_500));
        List<Future<RequestOutcome>> orders = new ArrayList<>();
        for (int number = 0; number < 4; number++) {
            String order = "order-" + number;
            int router = number;
            orders.add(executor.submit(() -> caller.order(order, order, "key-" + order, router)));
        }
        for (Future<RequestOutcome> order : orders) {
            assertEquals(getResult(order), RequestOutcome.NOT_RUN);
        }
        deployment.log().faults().update(faults -> faults.withApplyLate(0, 0));
        // Once this order has run, the late records are on the log, since its own records are appended after them.
        Deployment.sleep(2_600);
        assertTrue(Deployment.await(
                ANSWER_TIMEOUT_MILLIS,
                () -> caller.order("last" + System.nanoTime(), "last", "key-last", 0) == RequestOutcome.COMPLETED));
        assertGuarantees();
    }

    /** Guards against a refusal as "not run" of an order that took effect before its endpoint crashed. */
    @Test
    public void orderWithLostAnswerIsUnknown() {
        assertLostAnswerIsUnknown(null);
    }

    /** Guards against a refusal as "not run" of an order with a key that took effect before its endpoint crashed. */
    @Test
    public void keyedOrderWithLostAnswerIsUnknown() {
        assertLostAnswerIsUnknown("key");
    }

    /**
     * Guards against a second run of a keyed order when responses to appends are lost, a router and a sidecar are
     * killed and the caller retries through another router.
     */
    @Test
    public void keyedOrderRunsOnceAcrossKillsAndRetries() {
        deployment.log().faults().update(faults -> faults.withLoseAnswerEvery(2));
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(
                        vm -> deployment.plainService(vm).faults().update(faults -> faults.withAnswerDelayMillis(300)));
        List<Future<?>> orders = new ArrayList<>();
        for (int number = 0; number < 12; number++) {
            String order = "order-" + number;
            for (int router = 0; router < 2; router++) {
                int firstRouter = router;
                orders.add(executor.submit(() -> orderWithRetries(order, firstRouter)));
            }
        }
        assertTrue(Deployment.await(ANSWER_TIMEOUT_MILLIS, () -> effectCount() > 0));
        deployment.kill(router(0));
        deployment.kill(deployment.vms(ServiceKind.PLAIN).get(0));
        deployment.startProcess(router(0));
        deployment.startProcess(deployment.vms(ServiceKind.PLAIN).get(0));
        orders.forEach(GuaranteesUnderFailureTest::getResult);
        assertGuarantees();
    }

    /** Guards against new work for a VM that the VM list marks as leaving. */
    @Test
    public void leavingVmReceivesNoNewWork() {
        Vm leavingVm = deployment.vms(ServiceKind.ENGINE).get(0);
        Future<Integer> load = startLoad(LOAD_DURATION_MILLIS);
        deployment.vmList().setLeaving(leavingVm.name(), true);
        history.add(new Event.Withdrawn(Deployment.nowMillis(), leavingVm.name()));
        assertTrue(getResult(load) > 0, "no request was answered during the load");
        assertGuarantees();
    }

    /** Guards against a planned stop of a router that interrupts an answer. */
    @Test
    public void plannedStopOfRouterInterruptsNothing() {
        List<Future<RequestOutcome>> answers = List.of(requestLongAnswer("long", 0), sendSlowOrder("slow", 0));
        awaitTokens("long", 1);
        stopGracefully(router(0));
        answers.forEach(answer -> assertEquals(getResult(answer), RequestOutcome.COMPLETED));
        assertGuarantees();
    }

    /** Guards against a planned stop of a sidecar that interrupts an answer or loses an outcome. */
    @Test
    public void plannedStopOfSidecarInterruptsNothing() {
        List<Future<RequestOutcome>> answers = List.of(requestLongAnswer("long", 0), sendSlowOrder("slow", 0));
        awaitTokens("long", 1);
        assertTrue(Deployment.await(ANSWER_TIMEOUT_MILLIS, () -> effectCount() > 0));
        stopGracefully(findEngineRunning("long"));
        deployment.vms(ServiceKind.PLAIN).forEach(this::stopGracefully);
        answers.forEach(answer -> assertEquals(getResult(answer), RequestOutcome.COMPLETED));
        assertGuarantees();
    }

    /** Guards against processes that apply an older configuration, or none, after a restart during a log outage. */
    @Test
    public void configurationStaysInForceAcrossRestartsDuringAnOutage() {
        deployment.publish("owners", Map.of("acme", "{\"weight\": 3}"));
        assertTrue(Deployment.await(TimeBounds.TARGET.maximumPropagationMillis(), this::isLastChangeInForce));
        deployment.log().faults().update(faults -> faults.withDown(true));
        for (Vm vm : List.of(router(0), deployment.vms(ServiceKind.ENGINE).get(0))) {
            deployment.kill(vm);
            deployment.startProcess(vm);
        }
        assertTrue(Deployment.await(TimeBounds.TARGET.maximumPropagationMillis(), this::isLastChangeInForce));
        deployment.log().faults().update(faults -> faults.withDown(false));
        deployment.publish("owners", Map.of("acme", "{\"weight\": 4}"));
        assertTrue(Deployment.await(TimeBounds.TARGET.maximumPropagationMillis(), this::isLastChangeInForce));
        assertGuarantees();
    }

    private void startDeploymentWith(ColdStart coldStart) {
        executor = Executors.newCachedThreadPool();
        history = new History();
        deployment = new Deployment(history, coldStart);
        deployment.start();
        caller = new Caller(history, deployment.vms(null));
        for (int router = 0; router < 2; router++) {
            int currentRouter = router;
            assertTrue(Deployment.await(
                    ANSWER_TIMEOUT_MILLIS,
                    () -> caller.lookUp("warm-" + System.nanoTime(), currentRouter) == RequestOutcome.COMPLETED));
        }
        assertTrue(Deployment.await(TimeBounds.TARGET.maximumPropagationMillis(), this::isLastChangeInForce));
    }

    private void assertLostAnswerIsUnknown(@Nullable String key) {
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(vm -> deployment.plainService(vm).faults().update(faults -> faults.withDieAfterEffectNext(1)));
        assertEquals(caller.order("order", "order", key, 0), RequestOutcome.UNKNOWN);
        assertEquals(effectCount(), 1);
        assertGuarantees();
    }

    private void assertGuarantees() {
        deployment.recordEndpointEvents();
        assertEquals(Guarantee.allViolations(history, TimeBounds.TARGET), List.of());
    }

    private boolean isLastChangeInForce() {
        List<Event.ChangeAccepted> accepted = history.eventsOf(Event.ChangeAccepted.class);
        Event.ChangeAccepted lastChange = accepted.get(accepted.size() - 1);
        return history.eventsOf(Event.ProcessStarted.class).stream()
                .filter(start -> history.eventsOf(Event.ProcessEnded.class).stream()
                        .noneMatch(end -> end.incarnation() == start.incarnation()))
                .allMatch(start -> history.eventsOf(Event.VersionInForce.class).stream()
                        .anyMatch(version -> version.incarnation() == start.incarnation()
                                && version.section().equals(lastChange.section())
                                && version.version() >= lastChange.version()));
    }

    private Vm router(int number) {
        return deployment.vms(null).get(number);
    }

    private Future<RequestOutcome> requestLongAnswer(String request, int router) {
        return executor.submit(() -> caller.generate(request, LONG_ANSWER_TOKENS, true, router));
    }

    private Future<RequestOutcome> sendSlowOrder(String request, int router) {
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(vm ->
                        deployment.plainService(vm).faults().update(faults -> faults.withAnswerDelayMillis(1_000)));
        return executor.submit(() -> caller.order(request, request, "key-" + request, router));
    }

    private void stopGracefully(Vm vm) {
        history.add(new Event.PlannedStopStarted(Deployment.nowMillis(), vm.name(), caller.runningRequests()));
        deployment.stopGracefully(vm);
    }

    private void setAnswerDelay(long millis) {
        deployment
                .vms(ServiceKind.PLAIN)
                .forEach(vm ->
                        deployment.plainService(vm).faults().update(faults -> faults.withAnswerDelayMillis(millis)));
    }

    /** Sends lookups at once through both routers and waits for their outcomes. */
    private List<RequestOutcome> sendLookups(IntFunction<RequestOutcome> lookUp) {
        List<Future<RequestOutcome>> lookups = new ArrayList<>();
        for (int number = 0; number < 10; number++) {
            int currentNumber = number;
            lookups.add(executor.submit(() -> lookUp.apply(currentNumber)));
        }
        return lookups.stream().map(GuaranteesUnderFailureTest::getResult).toList();
    }

    /** Repeats a lookup that was not run, since an endpoint refuses what it expects to wait too long. */
    private RequestOutcome lookUpUntilRun(int number) {
        long deadlineMillis = Deployment.nowMillis() + ANSWER_TIMEOUT_MILLIS / 2;
        RequestOutcome outcome = caller.lookUp("next-" + number + "-0", number);
        for (int attempt = 1; outcome == RequestOutcome.NOT_RUN && Deployment.nowMillis() < deadlineMillis; attempt++) {
            Deployment.sleep(RETRY_DELAY_MILLIS);
            outcome = caller.lookUp("next-" + number + "-" + attempt, number);
        }
        return outcome;
    }

    private RequestOutcome orderWithRetries(String order, int router) {
        RequestOutcome outcome = RequestOutcome.NOT_SENT;
        for (int attempt = 0; attempt < 4 && outcome != RequestOutcome.COMPLETED; attempt++) {
            outcome = caller.order(order + "-" + router + "-" + attempt, order, "key-" + order, router + attempt);
        }
        return outcome;
    }

    private Future<Integer> startLoad(long durationMillis) {
        long deadlineMillis = Deployment.nowMillis() + durationMillis;
        AtomicInteger requestCount = new AtomicInteger();
        return executor.submit(() -> {
            int completedAnswers = 0;
            while (Deployment.nowMillis() < deadlineMillis) {
                int requestNumber = requestCount.incrementAndGet();
                RequestOutcome outcome =
                        caller.generate("load-" + requestNumber, SHORT_ANSWER_TOKENS, false, requestNumber);
                completedAnswers += outcome == RequestOutcome.COMPLETED ? 1 : 0;
            }
            return completedAnswers;
        });
    }

    private void awaitTokens(String request, int tokens) {
        Supplier<Long> receivedTokens = () -> history.eventsOf(Event.TokenReceived.class).stream()
                .filter(token -> token.request().equals(request))
                .count();
        assertTrue(
                Deployment.await(ANSWER_TIMEOUT_MILLIS, () -> receivedTokens.get() >= tokens),
                request + " received only " + receivedTokens.get() + " tokens");
    }

    private Vm findEngineRunning(String request) {
        return deployment.vms(ServiceKind.ENGINE).stream()
                .filter(vm -> deployment.engine(vm).requests().stream()
                        .anyMatch(received -> received.prompt().equals(request)))
                .findFirst()
                .orElseThrow();
    }

    private long effectCount() {
        return deployment.vms(ServiceKind.PLAIN).stream()
                .mapToLong(vm -> deployment.plainService(vm).effects().size())
                .sum();
    }

    private static <T> T getResult(Future<T> future) {
        try {
            return future.get(ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        } catch (ExecutionException | TimeoutException exception) {
            throw new AssertionError(exception);
        }
    }
}
