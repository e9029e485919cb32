package org.redwinghook.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vertx.core.Vertx;
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

    /** Guards against exit codes and lines that do not match the result on the log. */
    @Test
    public void eachOutcomeHasItsExitCode() throws IOException {
        LogStandIn log = new LogStandIn(vertx, 0);
        int port = log.start().await();
        assertEquals(publish(port, "billing", "owners: {a: {weight: 1}}"), ExitCode.DONE);
        assertTrue(printedText().contains("owners: accepted as version 1"), printedText());
        assertEquals(publish(port, "billing", "owners: {a: {weight: 1}}"), ExitCode.DONE);
        assertTrue(printedText().contains("owners: unchanged"), printedText());
        assertEquals(publish(port, "press", "owners: {a: {weight: 2}}"), ExitCode.CONFLICT);
        assertTrue(printedText().contains("owners: conflict: version 1 of team billing is in force"), printedText());
        assertEquals(publish(port, "billing", "owners: {a: {weight: 0}, b: {size: 1}}"), ExitCode.FINDINGS);
        assertTrue(printedText().contains("owners.a.weight") && printedText().contains("owners.b.size"), printedText());
        log.stop().await();
        assertEquals(publish(port, "billing", "owners: {a: {weight: 3}}"), ExitCode.FAILED);
        assertTrue(printedText().contains("the log cannot be read, nothing was changed"), printedText());
    }

    private ExitCode publish(int port, String team, String text) throws IOException {
        Path file = Files.createTempFile("configuration", ".yaml");
        try {
            Files.writeString(file, text);
            output.reset();
            PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
            return new OperatorCommandLine(vertx, stream, stream)
                    .run("publish", "--log", "127.0.0.1:" + port, "--file", file.toString(), "--team", team);
        } finally {
            Files.delete(file);
        }
    }

    private String printedText() {
        return output.toString(StandardCharsets.UTF_8);
    }
}
