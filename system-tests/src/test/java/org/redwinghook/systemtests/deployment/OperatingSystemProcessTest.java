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

/** Signals to processes of the operating system, which take the place of processes in this JVM. */
@Test(singleThreaded = true)
public final class OperatingSystemProcessTest {

    private static final long LIMIT_MILLIS = 30_000;
    private static final long PAUSE_MILLIS = 2_000;
    private static final int LONG_ANSWER = 1_000;

    private final List<Process> started = new ArrayList<>();
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
        started.forEach(Process::destroyForcibly);
        started.clear();
        executor.shutdownNow();
        deployment.close();
    }

    /** Guards against lost or doubled tokens when a router is killed with SIGKILL. */
    @Test
    public void callerContinuesAfterSigkillOfRouter() throws IOException, InterruptedException {
        Process router = replace(deployment.vms(null).get(0));
        awaitServing();
        Future<Ending> answer = longAnswer();
        router.destroyForcibly().waitFor();
        assertWhole(answer);
    }

    /** Guards against a router that cuts an answer on SIGTERM, or that does not end. */
    @Test
    public void sigtermDrainsRouter() throws IOException, InterruptedException {
        Process router = replace(deployment.vms(null).get(0));
        awaitServing();
        Future<Ending> answer = longAnswer();
        history.add(new Event.PlannedStop(Deployment.now(), "router-1", caller.running()));
        router.destroy();
        assertWhole(answer);
        assertTrue(router.waitFor(LIMIT_MILLIS, TimeUnit.MILLISECONDS), "the router did not end");
    }

    /** Guards against lost, doubled or mixed tokens when sidecars are paused and go on. */
    @Test
    public void pausedSidecarsGoOn() throws IOException, InterruptedException {
        List<Process> sidecars = new ArrayList<>();
        for (Vm vm : deployment.vms(ServiceKind.ENGINE)) {
            sidecars.add(replace(vm));
        }
        awaitServing();
        Future<Ending> answer = longAnswer();
        for (Process sidecar : sidecars) {
            signal("-STOP", sidecar);
        }
        Deployment.pause(PAUSE_MILLIS);
        for (Process sidecar : sidecars) {
            signal("-CONT", sidecar);
        }
        assertWhole(answer);
    }

    private Process replace(Vm vm) throws IOException {
        deployment.kill(vm);
        Path settings = Files.createTempFile(vm.name(), ".yaml");
        settings.toFile().deleteOnExit();
        Files.writeString(settings, deployment.settings(vm));
        Class<?> main = vm.kind() == null ? RouterMain.class : SidecarMain.class;
        // Surefire starts this JVM with a jar that only refers to the class path.
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
        started.add(process);
        return process;
    }

    private static void signal(String name, Process process) throws IOException, InterruptedException {
        int status = new ProcessBuilder("kill", name, String.valueOf(process.pid()))
                .start()
                .waitFor();
        assertEquals(status, 0);
    }

    private void awaitServing() {
        for (int router = 0; router < 2; router++) {
            int current = router;
            assertTrue(Deployment.await(
                    LIMIT_MILLIS,
                    () -> caller.generation("warm-" + System.nanoTime(), 1, false, current) == Ending.WHOLE));
        }
    }

    private Future<Ending> longAnswer() {
        Future<Ending> answer = executor.submit(() -> caller.generation("long", LONG_ANSWER, true, 0));
        assertTrue(Deployment.await(LIMIT_MILLIS, () -> history.of(Event.TokenReceived.class).stream()
                .anyMatch(token -> token.request().equals("long"))));
        return answer;
    }

    private void assertWhole(Future<Ending> answer) {
        try {
            assertEquals(answer.get(LIMIT_MILLIS, TimeUnit.MILLISECONDS), Ending.WHOLE);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new AssertionError(exception);
        } catch (ExecutionException | TimeoutException exception) {
            throw new AssertionError(exception);
        }
        deployment.recordWork();
        assertEquals(Guarantee.allViolations(history, Bounds.TARGET), List.of());
    }
}
