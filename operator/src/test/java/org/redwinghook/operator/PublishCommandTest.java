package org.redwinghook.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vertx.core.Vertx;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.standins.log.LogStandIn;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class PublishCommandTest {

    private final Vertx vertx = Vertx.vertx();
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();

    @AfterClass
    public void close() {
        vertx.close().await();
    }

    /** Guards against exit codes and lines that do not tell the operator what the log says. */
    @Test
    public void eachOutcomeHasItsExitCode() throws IOException, CmdLineException {
        LogStandIn log = new LogStandIn(vertx, 0);
        int port = log.start().await();
        assertEquals(publish(port, "billing", "owners: {a: {weight: 1}}"), ExitCode.DONE);
        assertTrue(printed().contains("owners: accepted as version 1"), printed());
        assertEquals(publish(port, "billing", "owners: {a: {weight: 1}}"), ExitCode.DONE);
        assertTrue(printed().contains("owners: unchanged"), printed());
        assertEquals(publish(port, "press", "owners: {a: {weight: 2}}"), ExitCode.CONFLICT);
        assertTrue(printed().contains("conflict with version 1 of team billing"), printed());
        assertEquals(publish(port, "billing", "owners: {a: {weight: 0}, b: {size: 1}}"), ExitCode.FINDINGS);
        assertTrue(printed().contains("owners.a.weight") && printed().contains("owners.b.size"), printed());
        log.stop().await();
        assertEquals(publish(port, "billing", "owners: {a: {weight: 3}}"), ExitCode.FAILED);
        assertTrue(printed().contains("unknown whether it was accepted"), printed());
    }

    private ExitCode publish(int port, String team, String text) throws IOException, CmdLineException {
        Path file = Files.createTempFile("configuration", ".yaml");
        try {
            Files.writeString(file, text);
            PublishOptions options = new PublishOptions();
            new CmdLineParser(options)
                    .parseArgument("publish", "--log", "127.0.0.1:" + port, "--file", file.toString(), "--team", team);
            output.reset();
            PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
            return new PublishCommand(vertx, stream, stream).run(options);
        } finally {
            Files.delete(file);
        }
    }

    private String printed() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
