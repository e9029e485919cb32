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

/** Guards against command lines that fail silently, with a stack trace, or only after the start. */
public class StandInMainTest {

    private final ByteArrayOutputStream printed = new ByteArrayOutputStream();

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
    public void printsHelpOfAllKindsAndOfOne() {
        Assert.assertEquals(run("--help"), ExitCode.DONE);
        Assert.assertTrue(printed().contains("weight-store"));
        Assert.assertEquals(run("--kind", "engine", "--help"), ExitCode.DONE);
        Assert.assertTrue(printed().contains("--memory-tokens"));
    }

    @Test
    public void namesWhatIsWrong() {
        Assert.assertEquals(run("--kind", "lock"), ExitCode.USAGE);
        Assert.assertTrue(printed().contains("lock"));
        Assert.assertEquals(run("--kind", "log"), ExitCode.USAGE);
        Assert.assertTrue(printed().contains("--port"));
        Assert.assertEquals(run("--kind", "log", "--port", "0", "--memory-tokens", "1"), ExitCode.USAGE);
        Assert.assertTrue(printed().contains("--memory-tokens"));
        Assert.assertEquals(run("--kind", "vm-list", "--port", "0", "--file", "absent.json"), ExitCode.USAGE);
        Assert.assertTrue(printed().contains("absent.json"));
    }

    @Test
    public void namesAPortThatIsTaken() {
        Vertx vertx = Vertx.vertx();
        int port = new PlainServiceStandIn(vertx, 0).start().await();
        Assert.assertEquals(run("--kind", "log", "--port", Integer.toString(port)), ExitCode.FAILED);
        Assert.assertTrue(printed().contains("cannot listen on port " + port));
        vertx.close().await();
    }

    private ExitCode run(String... arguments) {
        return run(null, arguments);
    }

    private ExitCode run(@Nullable Vertx vertx, String... arguments) {
        printed.reset();
        PrintStream stream = new PrintStream(printed, true, StandardCharsets.UTF_8);
        return StandInMain.run(() -> vertx == null ? Vertx.vertx() : vertx, stream, stream, arguments);
    }

    private String printed() {
        return printed.toString(StandardCharsets.UTF_8);
    }
}
