package org.redwinghook.runtime.process;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class ProcessLauncherTest {

    private static final long EXIT_TIMEOUT_SECONDS = 20;

    private static Process launch(String logFormat, int port) throws IOException {
        Path settings = Files.createTempFile("launched", ".txt");
        settings.toFile().deleteOnExit();
        Files.writeString(settings, String.valueOf(port));
        return launch(logFormat, settings);
    }

    private static Process launchWithFault(LaunchedProcess.Fault fault) throws IOException {
        Path settings = Files.createTempFile("launched", ".txt");
        settings.toFile().deleteOnExit();
        Files.writeString(settings, "0");
        ProcessBuilder builder = builder("text", settings);
        builder.environment().put(LaunchedProcess.FAULT_VARIABLE, fault.name());
        return builder.start();
    }

    private static Process launch(String logFormat, Path settings) throws IOException {
        return builder(logFormat, settings).start();
    }

    private static ProcessBuilder builder(String logFormat, Path settings) {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx64m",
                "-cp",
                System.getProperty("surefire.test.class.path", System.getProperty("java.class.path")),
                LaunchedProcess.class.getName(),
                "--settings",
                settings.toString());
        builder.environment().put("REDWINGHOOK_LOG", logFormat);
        return builder.redirectErrorStream(true);
    }

    private static List<String> remainingLines(BufferedReader output) {
        return output.lines().toList();
    }

    /**
     * Guards against a stack trace, or a process that keeps running without its port, when the port is in use.
     *
     * @throws Exception if the subprocess cannot be run
     */
    @Test(timeOut = 30_000)
    public void takenPortIsReportedWithItsAddress() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            Process process = launch("text", taken.getLocalPort());
            List<String> lines = remainingLines(process.inputReader());
            assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
            assertEquals(process.exitValue(), ExitCode.FAILED.number());
            assertEquals(lines.size(), 1, lines.toString());
            assertTrue(lines.get(0).contains("start failed cause="), lines.get(0));
            assertTrue(lines.get(0).contains("cannot listen on 127.0.0.1:" + taken.getLocalPort()), lines.get(0));
        }
    }

    @DataProvider
    public Object[][] logs() {
        return new Object[][] {{"text", "20"}, {"json", "{"}};
    }

    /**
     * Guards against a second SIGTERM that blocks or aborts the graceful stop, and against status messages of Logback.
     *
     * @param logFormat format of the log
     * @param linePrefix text with which each line starts
     * @throws Exception if the subprocess cannot be run
     */
    @Test(timeOut = 30_000, dataProvider = "logs")
    public void secondSignalNeitherHangsNorAbortsTheStop(String logFormat, String linePrefix) throws Exception {
        Process process = launch(logFormat, 0);
        BufferedReader output = process.inputReader();
        String started = output.readLine();
        process.toHandle().destroy();
        String draining = output.readLine();
        process.toHandle().destroy();
        List<String> rest = remainingLines(output);
        assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertTrue(started.startsWith(linePrefix) && started.contains("started"), started);
        assertTrue(draining.startsWith(linePrefix) && draining.contains("draining"), draining);
        assertEquals(rest.size(), 1, rest.toString());
        assertTrue(rest.get(0).startsWith(linePrefix) && rest.get(0).contains("stopped"), rest.get(0));
    }

    /**
     * Guards against a process that is ended by SIGTERM while it starts, with the connections that it already accepts.
     *
     * @throws Exception if the subprocess cannot be run
     */
    @Test(timeOut = 30_000)
    public void signalDuringTheStartStopsGracefully() throws Exception {
        Process process = launchWithFault(LaunchedProcess.Fault.SLOW_START);
        BufferedReader output = process.inputReader();
        assertEquals(output.readLine(), "listening");
        process.toHandle().destroy();
        String rest = String.join("\n", remainingLines(output));
        assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        assertTrue(rest.contains("draining"), rest);
        assertTrue(rest.contains("stopped"), rest);
    }

    /**
     * Guards against a process that SIGHUP ends while it creates its services.
     *
     * @throws Exception if the subprocess cannot be run
     */
    @Test(timeOut = 30_000)
    public void hangupDuringTheStartDoesNotEndTheProcess() throws Exception {
        Process process = launchWithFault(LaunchedProcess.Fault.SLOW_CREATION);
        try {
            BufferedReader output = process.inputReader();
            assertEquals(output.readLine(), "creating");
            assertEquals(
                    new ProcessBuilder("kill", "-HUP", String.valueOf(process.pid()))
                            .start()
                            .waitFor(),
                    0);
            String line = output.readLine();
            while (line != null && !line.contains("launched started")) {
                line = output.readLine();
            }
            assertTrue(line != null, "the process ended with " + (process.isAlive() ? "no line" : process.exitValue()));
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against a process that is killed in the middle of its stop, because it counts its time from the end of its
     * start and the platform from the signal.
     *
     * @throws Exception if the subprocess cannot be run
     */
    @Test(timeOut = 30_000)
    public void stopTimeCountsFromTheSignal() throws Exception {
        Process process = launchWithFault(LaunchedProcess.Fault.SLOW_START);
        BufferedReader output = process.inputReader();
        assertEquals(output.readLine(), "listening");
        long signalledAtNanos = System.nanoTime();
        process.toHandle().destroy();
        String line = output.readLine();
        long latestAgeMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAtNanos);
        while (line != null && !line.startsWith("signalAgeMillis=")) {
            line = output.readLine();
            latestAgeMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAtNanos);
        }
        assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS));
        long ageMillis = Long.parseLong(line.substring(line.indexOf('=') + 1));
        assertTrue(ageMillis > 0 && ageMillis <= latestAgeMillis, line);
        assertTrue(ageMillis >= LaunchedProcess.SLOW_START_MILLIS / 2, line);
    }

    /**
     * Guards against a process that keeps running and accepting after its graceful stop has failed.
     *
     * @throws Exception if the subprocess cannot be run
     */
    @Test(timeOut = 60_000)
    public void processWhoseStopFailsExits() throws Exception {
        Process process = launchWithFault(LaunchedProcess.Fault.STOP_THROWS);
        try {
            BufferedReader output = process.inputReader();
            assertTrue(output.readLine().contains("started"));
            process.toHandle().destroy();
            assertTrue(process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS), "the process did not exit");
            String rest = String.join("\n", remainingLines(output));
            assertTrue(rest.contains("drain failed cause=no drain"), rest);
        } finally {
            process.destroyForcibly();
        }
    }

    /**
     * Guards against a settings file that changes without a signal and is ignored, and against a file with findings
     * that replaces the settings in force.
     *
     * @throws Exception if the subprocess cannot be run
     */
    @Test(timeOut = 30_000)
    public void changedFileIsReadWithoutASignal() throws Exception {
        Path settings = Files.createTempFile("launched", ".txt");
        settings.toFile().deleteOnExit();
        Files.writeString(settings, "0");
        Process process = launch("text", settings);
        BufferedReader output = process.inputReader();
        assertTrue(output.readLine().contains("started"));
        Files.writeString(settings, "no port");
        String rejected = output.readLine();
        Files.writeString(settings, "12345");
        String reloaded = output.readLine();
        process.toHandle().destroy();
        assertTrue(rejected.contains("reload rejected") && rejected.contains(":1:1"), rejected);
        assertTrue(reloaded.contains("reload changed=true"), reloaded);
    }
}
