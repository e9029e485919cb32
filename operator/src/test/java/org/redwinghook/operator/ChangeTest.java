package org.redwinghook.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.redwinghook.operator.OperatorFixture.CommandRun;
import org.redwinghook.runtime.process.ExitCode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class ChangeTest {

    private static final String CUSTOMERS = """
            customers:
              retail: {owner: parna, credentialHashes: [], requestsPerSecond: 30}
            """;

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

    /** Guards against two concurrent edits of one version both succeeding, both failing, or reporting a wrong winner. */
    @Test
    public void oneOfTwoConcurrentEditsIsAcceptedAndTheOtherReportsIt() {
        fixture.log.faults().update(faults -> faults.withDelayMillis(150));
        CompletableFuture<CommandRun> second =
                CompletableFuture.supplyAsync(() -> fixture.edit("customers", 1, "platform", CUSTOMERS));
        CommandRun first = fixture.edit("customers", 1, "platform", CUSTOMERS.replace("30", "40"));
        List<CommandRun> runs = new ArrayList<>(List.of(first, second.join()));
        runs.sort(Comparator.comparing(CommandRun::code));
        assertEquals(runs.get(0).code(), ExitCode.DONE);
        assertEquals(runs.get(1).code(), ExitCode.CONFLICT);
        assertTrue(
                runs.get(1).errors().contains("version 4 of team platform is in force"),
                runs.get(1).errors());
    }

    /** Guards against an edit of another team's section, or of an old version, being appended or misreported. */
    @Test
    public void conflictReportsVersionAndTeamInForce() {
        CommandRun stale = fixture.edit("customers", 0, "platform", CUSTOMERS);
        CommandRun otherTeam = fixture.run(
                "edit",
                "--section",
                "customers",
                "--replaces",
                "1",
                "--team",
                "press",
                "--json",
                "--file",
                fixture.createFile(CUSTOMERS));
        assertEquals(stale.code(), ExitCode.CONFLICT);
        assertEquals(otherTeam.code(), ExitCode.CONFLICT);
        var section = otherTeam
                .json()
                .getJsonObject("result")
                .getJsonArray("sections")
                .getJsonObject(0);
        assertEquals(section.getLong("version"), 1);
        assertEquals(section.getString("team"), "platform");
        assertEquals(fixture.countRecords(), 3);
    }

    /** Guards against a change that took effect being reported as failed when the response to the append is lost. */
    @Test
    public void appendWithLostResponseIsReportedAsAccepted() {
        fixture.log.faults().update(faults -> faults.withLoseNextAnswers(1));
        CommandRun run = fixture.edit("customers", 1, "platform", CUSTOMERS);
        assertEquals(run.code(), ExitCode.DONE, run.errors());
        assertTrue(run.output().contains("customers: accepted as version 4"), run.output());
        assertEquals(fixture.countRecords(), 4);
    }

    /** Guards against the late effect of an append that seemed to fail being reported as a conflict with another editor. */
    @Test
    public void lateEffectOfFirstAppendIsNotReportedAsConflict() {
        fixture.log.faults().update(faults -> faults.withApplyLate(1, 200));
        CommandRun run = fixture.edit("customers", 1, "platform", CUSTOMERS);
        assertEquals(run.code(), ExitCode.DONE, run.errors());
    }

    /** Guards against an edit during an outage being reported as accepted, and its repetition as a conflict. */
    @Test
    public void editFailsDuringOutageAndCanBeRepeated() {
        fixture.log.faults().update(faults -> faults.withDown(true));
        assertEquals(fixture.edit("customers", 1, "platform", CUSTOMERS).code(), ExitCode.FAILED);
        fixture.log.faults().update(faults -> faults.withDown(false));
        assertEquals(fixture.edit("customers", 1, "platform", CUSTOMERS).code(), ExitCode.DONE);
        CommandRun repeated = fixture.edit("customers", 1, "platform", CUSTOMERS);
        assertEquals(repeated.code(), ExitCode.DONE, repeated.errors());
        assertTrue(repeated.output().contains("customers: unchanged"), repeated.output());
    }

    /** Guards against a partly valid section being published, and against findings without line and column. */
    @Test
    public void invalidSectionIsRejectedAsAWholeWithPositions() {
        String text = """
                customers:
                  retail: {owner: parna, credentialHashes: [], requestsPerSecond: 30}
                  yoga: {owner: nobody, credentialHashes: []}
                  shop: {owner: parna, credentialHashes: [], colour: red}
                """;
        CommandRun run = fixture.edit("customers", 1, "platform", text);
        assertEquals(run.code(), ExitCode.FINDINGS);
        assertTrue(
                run.errors().contains(":3:10: customers.yoga.owner: names the unknown owner 'nobody'"), run.errors());
        assertTrue(run.errors().contains(":4:"), run.errors());
        assertEquals(fixture.countRecords(), 3);
    }

    /** Guards against an edit being accepted that breaks references of another section. */
    @Test
    public void editThatBreaksAnotherSectionIsRejected() {
        CommandRun run = fixture.edit("owners", 2, "platform", "owners:\n  other: {}\n");
        assertEquals(run.code(), ExitCode.FINDINGS);
        assertTrue(run.errors().contains("customers: retail.owner: names the unknown owner 'parna'"), run.errors());
        assertEquals(fixture.countRecords(), 3);
    }

    /** Guards against a document of several teams being published in part. */
    @Test
    public void documentWithAnotherTeamsSectionIsNotPublishedInPart() {
        String document = OperatorFixture.DOCUMENT.replace("1.5", "2").replace("20", "21");
        CommandRun run = fixture.run("publish", "--team", "press", "--file", fixture.createFile(document));
        assertEquals(run.code(), ExitCode.CONFLICT);
        assertTrue(run.errors().contains("of team platform is in force"), run.errors());
        assertEquals(fixture.countRecords(), 3);
    }

    /** Guards against output of show that changes entries when it is published unedited. */
    @Test
    public void shownSectionCanBeEditedAndPublishedAgain() {
        CommandRun shown = fixture.run("show", "owners");
        assertTrue(shown.output().startsWith("# version 2, team platform\n"), shown.output());
        CommandRun unedited = fixture.edit("owners", 2, "platform", shown.output());
        assertTrue(unedited.output().contains("owners: unchanged"), unedited.output() + unedited.errors());
        CommandRun extended = fixture.edit("owners", 2, "platform", shown.output() + "  press: {weight: 1}\n");
        assertEquals(extended.code(), ExitCode.DONE, extended.errors());
        assertEquals(fixture.readRecord(3).getJsonObject("put").fieldNames(), java.util.Set.of("press"));
    }

    /** Guards against a change being reported as confirmed while a process lags or cannot be reached. */
    @Test
    public void unconfirmedProcessesAreListed() {
        fixture.startProcess("good", 4);
        fixture.startProcess("lagging", 3);
        fixture.addToVmList("dead", 1);
        CommandRun run = fixture.run(
                "edit",
                "--section",
                "customers",
                "--replaces",
                "1",
                "--team",
                "platform",
                "--wait",
                "1",
                "--file",
                fixture.createFile(CUSTOMERS));
        assertEquals(run.code(), ExitCode.UNCONFIRMED);
        assertTrue(run.output().contains("accepted as version 4"), run.output());
        assertTrue(run.errors().contains("not confirmed by lagging in hu-1"), run.errors());
        assertTrue(run.errors().contains("not confirmed by dead in hu-1"), run.errors());
        assertTrue(!run.errors().contains("good"), run.errors());
    }

    /** Guards against a change being reported as confirmed when the VM list cannot be read. */
    @Test
    public void unreadableVmListIsUnconfirmed() {
        fixture.vmList.faults().update(faults -> faults.withDown(true));
        assertEquals(fixture.edit("customers", 1, "platform", CUSTOMERS).code(), ExitCode.UNCONFIRMED);
    }
}
