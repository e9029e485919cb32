package org.redwinghook.standins;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.standins.plain.PlainServiceStandIn;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against invalid command lines that fail silently, with a stack trace, or only after the start. */
public class StandInMainTest {

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    @Test
    public void startsEachKindWithItsOptions() {
        for (String kind : new String[] {"log", "vm-list", "weight-store", "engine", "plain"}) {
            Vertx vertx = Vertx.vertx();
            Assert.assertEquals(run(vertx, "--kind", kind, "--port", "0"), ExitCode.DONE);
            vertx.close().await();
        }
        Vertx vertx = Vertx.vertx();
        Assert.assertEquals(
                run(vertx, "--kind", "engine", "--port", "0", "--cold-overload", "CRASH", "--ignore-fencing"),
                ExitCode.DONE);
        vertx.close().await();
    }

    @Test
    public void printsGeneralAndKindSpecificHelp() {
        Assert.assertEquals(run("--help"), ExitCode.DONE);
        Assert.assertTrue(output().contains("weight-store"));
        Assert.assertEquals(run("--kind", "engine", "--help"), ExitCode.DONE);
        Assert.assertTrue(output().contains("--memory-tokens"));
    }

    @Test
    public void reportsInvalidOption() {
        Assert.assertEquals(run("--kind", "lock"), ExitCode.USAGE);
        Assert.assertTrue(output().contains("lock"));
        Assert.assertEquals(run("--kind", "log"), ExitCode.USAGE);
        Assert.assertTrue(output().contains("--port"));
        Assert.assertEquals(run("--kind", "log", "--port", "0", "--memory-tokens", "1"), ExitCode.USAGE);
        Assert.assertTrue(output().contains("--memory-tokens"));
        Assert.assertEquals(run("--kind", "vm-list", "--port", "0", "--file", "absent.json"), ExitCode.USAGE);
        Assert.assertTrue(output().contains("absent.json"));
    }

    @Test
    public void reportsPortInUse() {
        Vertx vertx = Vertx.vertx();
        int port = new PlainServiceStandIn(vertx, 0).start().await();
        Assert.assertEquals(run("--kind", "log", "--port", Integer.toString(port)), ExitCode.FAILED);
        Assert.assertTrue(output().contains("cannot listen on port " + port));
        vertx.close().await();
    }

    private ExitCode run(String... arguments) {
        return run(null, arguments);
    }

    private ExitCode run(@Nullable Vertx vertx, String... arguments) {
        output.reset();
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        return StandInMain.run(() -> vertx == null ? Vertx.vertx() : vertx, stream, stream, arguments);
    }

    private String output() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
