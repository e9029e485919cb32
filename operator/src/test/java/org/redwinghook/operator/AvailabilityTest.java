package org.redwinghook.operator;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.redwinghook.operator.OperatorFixture.Run;
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

    private Run move(String command, String kind, String name, String... more) {
        List<String> all = new java.util.ArrayList<>(List.of(command, kind, name, "--team", "platform"));
        all.addAll(List.of(more));
        return fixture.run(all.toArray(String[]::new));
    }

    /** Guards against a move that has another effect than the operator asked for. */
    @Test
    public void dataCentresAndVmsGoOutAndIn() {
        assertEquals(move("out", "data-centre", "hu-1").code(), ExitCode.DONE);
        assertEquals(fixture.record(3).getJsonObject("put").getString("dataCentre"), "\"out\"");
        assertEquals(move("in", "data-centre", "hu-1").code(), ExitCode.DONE);
        assertEquals(fixture.record(4).getJsonObject("put").getString("dataCentre"), "\"in\"");
        assertEquals(move("out", "vm", "engine-1").code(), ExitCode.DONE);
        assertEquals(fixture.record(5).getString("section"), "availability.engine-1");
    }

    /** Guards against a mistyped data centre being accepted without any effect. */
    @Test
    public void unknownDataCentreIsRefused() {
        Run run = move("out", "data-centre", "hu-9");
        assertEquals(run.code(), ExitCode.FINDINGS);
        assertTrue(run.errors().contains("no data centre hu-9"), run.errors());
        assertEquals(fixture.records(), 3);
    }

    /** Guards against an operator who lost a race believing that the data centre is where the operator put it. */
    @Test
    public void loserOfARaceLearnsWhatIsInForce() {
        move("out", "data-centre", "hu-1");
        move("in", "data-centre", "hu-1");
        fixture.log.faults().update(faults -> faults.withDelayMillis(150));
        CompletableFuture<Run> other = CompletableFuture.supplyAsync(() -> move("out", "vm", "hu-1"));
        Run mine = move("out", "data-centre", "hu-1");
        List<Run> runs = List.of(mine, other.join());
        Run loser = runs.stream()
                .filter(run -> run.code() == ExitCode.CONFLICT)
                .findFirst()
                .orElseThrow();
        assertTrue(runs.stream().anyMatch(run -> run.code() == ExitCode.DONE));
        assertTrue(loser.errors().contains("version 6 of team platform is in force"), loser.errors());
        assertTrue(loser.errors().contains("hu-1 is now in"), loser.errors());
    }

    /** Guards against an isolated region that never hears of a data centre that is out. */
    @Test
    public void directWithdrawalIsPostedWithTheAcceptedVersion() {
        String process = "127.0.0.1:" + fixture.process("isolated", 4);
        Run run = move("out", "data-centre", "hu-1", "--direct", process);
        assertEquals(run.code(), ExitCode.DONE, run.errors());
        assertEquals(fixture.withdrawals.get(0).getLong("basedOn"), 4);
        assertEquals(fixture.withdrawals.get(0).getString("kind"), "dataCentre");
    }

    /** Guards against an outage of the log keeping an operator from withdrawing a data centre. */
    @Test
    public void directWithdrawalWorksWithoutTheLog() {
        String process = "127.0.0.1:" + fixture.process("isolated", 3);
        fixture.log.faults().update(faults -> faults.withDown(true));
        Run run = move("out", "data-centre", "hu-1", "--direct", process);
        assertEquals(run.code(), ExitCode.FAILED);
        assertEquals(fixture.withdrawals.get(0).getLong("basedOn"), 2);
        assertTrue(run.errors().contains("withdrawal taken by " + process), run.errors());
    }

    /** Guards against a withdrawal that nobody took being reported as done. */
    @Test
    public void failedDirectWithdrawalIsUnconfirmed() {
        assertEquals(
                move("out", "data-centre", "hu-1", "--direct", "127.0.0.1:1").code(), ExitCode.UNCONFIRMED);
    }
}
