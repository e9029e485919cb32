package org.redwinghook.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.redwinghook.operator.OperatorFixture.CommandRun;
import org.redwinghook.runtime.process.ExitCode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class AvailabilityTest {

    private OperatorFixture fixture = new OperatorFixture();

    @BeforeMethod
    public void open() {
        fixture.close();
        fixture = new OperatorFixture();
        assertEquals(fixture.publish(OperatorFixture.DOCUMENT).code(), ExitCode.DONE);
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        fixture.close();
    }

    private CommandRun setAvailability(String command, String kind, String name, String... options) {
        List<String> arguments = new java.util.ArrayList<>(List.of(command, kind, name, "--team", "platform"));
        arguments.addAll(List.of(options));
        return fixture.run(arguments.toArray(String[]::new));
    }

    /** Guards against a change of availability with an effect other than requested. */
    @Test
    public void dataCentresAndVmsAreTakenOutAndBroughtBack() {
        assertEquals(setAvailability("out", "data-centre", "hu-1").code(), ExitCode.DONE);
        assertEquals(fixture.readRecord(3).getJsonObject("put").getString("dataCentre"), "\"out\"");
        assertEquals(setAvailability("in", "data-centre", "hu-1").code(), ExitCode.DONE);
        assertEquals(fixture.readRecord(4).getJsonObject("put").getString("dataCentre"), "\"in\"");
        assertEquals(setAvailability("out", "vm", "engine-1").code(), ExitCode.DONE);
        assertEquals(fixture.readRecord(5).getString("section"), "availability.engine-1");
    }

    /** Guards against a mistyped data centre being accepted without effect. */
    @Test
    public void unknownDataCentreIsRejected() {
        CommandRun run = setAvailability("out", "data-centre", "hu-9");
        assertEquals(run.code(), ExitCode.FINDINGS);
        assertTrue(run.errors().contains("no data centre hu-9"), run.errors());
        assertEquals(fixture.countRecords(), 3);
    }

    /** Guards against a conflict that does not report which availability is in force. */
    @Test
    public void rejectedChangeReportsAvailabilityInForce() {
        setAvailability("out", "data-centre", "hu-1");
        setAvailability("in", "data-centre", "hu-1");
        fixture.log.faults().update(faults -> faults.withDelayMillis(150));
        CompletableFuture<CommandRun> second =
                CompletableFuture.supplyAsync(() -> setAvailability("out", "vm", "hu-1"));
        CommandRun first = setAvailability("out", "data-centre", "hu-1");
        List<CommandRun> runs = List.of(first, second.join());
        CommandRun rejected = runs.stream()
                .filter(run -> run.code() == ExitCode.CONFLICT)
                .findFirst()
                .orElseThrow();
        assertTrue(runs.stream().anyMatch(run -> run.code() == ExitCode.DONE));
        assertTrue(rejected.errors().contains("version 6 of team platform is in force"), rejected.errors());
        assertTrue(rejected.errors().contains("hu-1 is now in"), rejected.errors());
    }

    /** Guards against a process in an isolated region not receiving the withdrawal of a data centre. */
    @Test
    public void directWithdrawalIsPostedWithTheAcceptedVersion() {
        String process = "127.0.0.1:" + fixture.startProcess("isolated", 4);
        CommandRun run = setAvailability("out", "data-centre", "hu-1", "--direct", process);
        assertEquals(run.code(), ExitCode.DONE, run.errors());
        assertEquals(fixture.withdrawals.get(0).getLong("basedOn"), 4);
        assertEquals(fixture.withdrawals.get(0).getString("kind"), "dataCentre");
    }

    /** Guards against an outage of the log preventing the withdrawal of a data centre. */
    @Test
    public void directWithdrawalIsPostedWithoutTheLog() {
        String process = "127.0.0.1:" + fixture.startProcess("isolated", 3);
        fixture.log.faults().update(faults -> faults.withDown(true));
        CommandRun run = setAvailability("out", "data-centre", "hu-1", "--direct", process);
        assertEquals(run.code(), ExitCode.FAILED);
        assertEquals(fixture.withdrawals.get(0).getLong("basedOn"), 2);
        assertTrue(run.errors().contains("withdrawal taken by " + process), run.errors());
    }

    /** Guards against a withdrawal that no process accepted being reported as done. */
    @Test
    public void failedDirectWithdrawalIsUnconfirmed() {
        assertEquals(
                setAvailability("out", "data-centre", "hu-1", "--direct", "127.0.0.1:1")
                        .code(),
                ExitCode.UNCONFIRMED);
    }
}
