package org.redwinghook.systemtests.deployment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.router.RouterMain;
import org.redwinghook.sidecar.SidecarMain;
import org.redwinghook.standins.engine.ColdStart;
import org.redwinghook.systemtests.deployment.Caller.RequestOutcome;
import org.redwinghook.systemtests.history.Event;
import org.redwinghook.systemtests.history.Guarantee;
import org.redwinghook.systemtests.history.History;
import org.redwinghook.systemtests.history.TimeBounds;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

/** Sends signals to routers and sidecars that run in their own JVMs in place of processes in this JVM. */
@Test(singleThreaded = true)
public final class OperatingSystemProcessTest {

    private static final long TIMEOUT_MILLIS = 30_000;
    private static final long SUSPENSION_MILLIS = 2_000;
    private static final int LONG_ANSWER_TOKENS = 1_000;

    private final List<Process> startedProcesses = new ArrayList<>();
    private ExecutorService executor = Executors.newCachedThreadPool();
    private History history = new History();
    private Deployment deployment = new Deployment(history, ColdStart.NONE);
    private Caller caller = new Caller(history, List.of());

    @BeforeMethod
    public void startDeployment() {
        executor = Executors.newCachedThreadPool();
        history = new History();
        deployment = new Deployment(history, ColdStart.NONE);
        deployment.start();
        caller = new Caller(history, deployment.vms(null));
    }

    @AfterMethod(alwaysRun = true)
    public void stopDeployment() {
        startedProcesses.forEach(Process::destroyForcibly);
        startedProcesses.clear();
        executor.shutdownNow();
        deployment.close();
    }

    /** Guards against lost or duplicate tokens when a router is killed with SIGKILL during an answer. */
    @Test
    public void callerContinuesAfterSigkillOfRouter() throws IOException, InterruptedException {
        Process router = replaceProcess(deployment.vms(null).get(0));
        awaitServingRouters();
        Future<RequestOutcome> answer = requestLongAnswer();
        router.destroyForcibly().waitFor();
        assertCompleted(answer);
    }

    /** Guards against a router that interrupts an answer on SIGTERM, or that does not exit. */
    @Test
    public void sigtermDrainsRouter() throws IOException, InterruptedException {
        Process router = replaceProcess(deployment.vms(null).get(0));
        awaitServingRouters();
        Future<RequestOutcome> answer = requestLongAnswer();
        history.add(new Event.PlannedStopStarted(Deployment.nowMillis(), "router-1", caller.runningRequests()));
        router.destroy();
        assertCompleted(answer);
        assertTrue(router.waitFor(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), "the router did not exit");
    }

    /** Guards against lost, duplicate or mixed tokens when sidecars are suspended with SIGSTOP and continued. */
    @Test
    public void answerCompletesAfterSidecarsAreSuspended() throws IOException, InterruptedException {
        List<Process> sidecars = new ArrayList<>();
        for (Vm vm : deployment.vms(ServiceKind.ENGINE)) {
            sidecars.add(replaceProcess(vm));
        }
        awaitServingRouters();
        Future<RequestOutcome> answer = requestLongAnswer();
        for (Process sidecar : sidecars) {
            sendSignal("-STOP", sidecar);
        }
        Deployment.sleep(SUSPENSION_MILLIS);
        for (Process sidecar : sidecars) {
            sendSignal("-CONT", sidecar);
        }
        assertCompleted(answer);
    }

    private Process replaceProcess(Vm vm) throws IOException {
        deployment.kill(vm);
        Path settings = Files.createTempFile(vm.name(), ".yaml");
        settings.toFile().deleteOnExit();
        Files.writeString(settings, deployment.settingsYaml(vm));
        Class<?> main = vm.kind() == null ? RouterMain.class : SidecarMain.class;
        // Surefire starts this JVM with a manifest-only jar; the class path is in a system property.
        String classPath = System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
        Process process = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-Xmx64m",
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        classPath,
                        main.getName(),
                        "--settings",
                        settings.toString())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        startedProcesses.add(process);
        return process;
    }

    private static void sendSignal(String name, Process process) throws IOException, InterruptedException {
        int exitStatus = new ProcessBuilder("kill", name, String.valueOf(process.pid()))
                .start()
                .waitFor();
        assertEquals(exitStatus, 0);
    }

    private void awaitServingRouters() {
        for (int router = 0; router < 2; router++) {
            int currentRouter = router;
            assertTrue(Deployment.await(
                    TIMEOUT_MILLIS,
                    () -> caller.generate("warm-" + System.nanoTime(), 1, false, currentRouter)
                            == RequestOutcome.COMPLETED));
        }
    }

    private Future<RequestOutcome> requestLongAnswer() {
        Future<RequestOutcome> answer = executor.submit(() -> caller.generate("long", LONG_ANSWER_TOKENS, true, 0));
        assertTrue(Deployment.await(TIMEOUT_MILLIS, () -> history.eventsOf(Event.TokenReceived.class).stream()
                .anyMatch(token -> token.request().equals("long"))));
        return answer;
    }

    private void assertCompleted(Future<RequestOutcome> answer) {
        try {
            assertEquals(answer.get(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS), RequestOutcome.COMPLETED);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        } catch (ExecutionException | TimeoutException exception) {
            throw new AssertionError(exception);
        }
        deployment.recordEndpointEvents();
        assertEquals(Guarantee.allViolations(history, TimeBounds.TARGET), List.of());
    }
}
