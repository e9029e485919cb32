package org.redwinghook.operator;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.redwinghook.core.usage.UsageCounts;
import org.redwinghook.core.usage.UsageEntry;
import org.redwinghook.core.usage.UsageKey;
import org.redwinghook.core.usage.UsageRecord;
import org.redwinghook.core.usage.UsageSide;
import org.redwinghook.operator.OperatorFixture.Run;
import org.redwinghook.runtime.process.ExitCode;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class CommandLineTest {

    private static final List<String> COMMANDS =
            List.of("check", "show", "publish", "edit", "out", "in", "state", "use", "reconcile");

    private OperatorFixture fixture = new OperatorFixture();

    @BeforeMethod
    public void open() {
        fixture.close();
        fixture = new OperatorFixture();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        fixture.close();
    }

    @DataProvider
    public Object[] commands() {
        return COMMANDS.toArray();
    }

    /**
     * Guards against a mistyped flag being ignored, so that a command does something else than asked.
     *
     * @param command name of the command
     */
    @Test(dataProvider = "commands")
    public void unknownFlagsAreRefused(String command) {
        Run run = fixture.plain(command, "--forse");
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.errors().contains("\"--forse\" is not a valid option"), run.errors());
        assertEquals(fixture.plain(command, "--forse", "--json").json().getString("code"), "USAGE");
    }

    /**
     * Guards against a command whose options can only be found in its code.
     *
     * @param command name of the command
     */
    @Test(dataProvider = "commands")
    public void eachCommandHasHelp(String command) {
        Run run = fixture.plain(command, "--help");
        assertEquals(run.code(), ExitCode.DONE, run.errors());
        assertTrue(run.output().startsWith("usage: redwinghook " + command), run.output());
        assertTrue(run.output().contains("--json"), run.output());
    }

    /** Guards against wrong or missing arguments being taken for others. */
    @Test
    public void wrongArgumentsAreRefused() {
        assertEquals(fixture.plain().code(), ExitCode.USAGE);
        assertEquals(fixture.plain("--help").code(), ExitCode.DONE);
        assertEquals(fixture.plain("destroy").code(), ExitCode.USAGE);
        assertEquals(fixture.plain("show", "--log", "127.0.0.1").code(), ExitCode.USAGE);
        assertEquals(fixture.plain("show").code(), ExitCode.USAGE);
        assertEquals(fixture.plain("out", "rack", "a", "--team", "t").code(), ExitCode.USAGE);
        assertEquals(
                fixture.plain("show", "--settings", fixture.file("lgo: {}\n")).code(), ExitCode.FINDINGS);
    }

    /** Guards against a settings file that has no effect. */
    @Test
    public void settingsFileTellsTheAddresses() {
        String settings = fixture.file("log: {port: " + fixture.logPort + "}\n");
        fixture.publish(OperatorFixture.DOCUMENT);
        Run run = fixture.plain("show", "--settings", settings);
        assertEquals(run.code(), ExitCode.DONE, run.errors());
        assertTrue(run.output().contains("customers: version 1, team platform, 1 entries"), run.output());
    }

    /** Guards against a check that stops at the first finding or leaves out references between sections. */
    @Test
    public void checkReportsAllFindingsWithPlaces() {
        String document =
                OperatorFixture.DOCUMENT.replace("region: hu", "regoin: hu").replace("parna, ", "nobody, ");
        Run run = fixture.plain("check", "--json", fixture.file(document));
        assertEquals(run.code(), ExitCode.FINDINGS);
        List<String> keys = run.json().getJsonArray("result").stream()
                .map(finding ->
                        ((JsonObject) finding).getInteger("line") + " " + ((JsonObject) finding).getString("key"))
                .toList();
        assertTrue(keys.contains("4 places.hu-1.regoin"), keys.toString());
        assertTrue(keys.contains("6 customers.retail.owner"), keys.toString());
    }

    /** Guards against repeated usage records being billed twice, and against differences that are not shown. */
    @Test
    public void useAndReconcileCountEachRecordOnce() {
        append("router-1", UsageSide.ROUTER, 100);
        append("router-1", UsageSide.ROUTER, 100);
        append("engine-1", UsageSide.ENDPOINT, 130);
        fixture.client()
                .append("usage", io.vertx.core.buffer.Buffer.buffer("no record"))
                .await();
        JsonObject bill = fixture.run("use", "--json").json().getJsonObject("result");
        assertEquals(bill.getJsonObject("owners").getJsonObject("parna").getLong("outputTokens"), 100);
        assertEquals(bill.getJsonArray("customers").getJsonObject(0).getString("customer"), "retail");
        Run reconciled = fixture.run("reconcile");
        assertTrue(reconciled.output().contains("parna retail at copy: 30 tokens not delivered"), reconciled.output());
    }

    private void append(String process, UsageSide side, long outputTokens) {
        UsageEntry entry =
                new UsageEntry(new UsageKey("parna", "retail", "copy", side), UsageCounts.generation(10, outputTokens));
        UsageRecord added = new UsageRecord(process, 1, 1, List.of(entry));
        fixture.client().append("usage", JsonObject.mapFrom(added).toBuffer()).await();
    }

    /** Guards against a state dump that cannot be told from a failure to get one. */
    @Test
    public void stateIsTheDumpOfTheProcess() {
        int port = fixture.process("router-1", 7);
        Run run = fixture.plain("state", "127.0.0.1:" + port, "--json");
        assertEquals(run.json().getJsonObject("result").getLong("offset"), 7);
        assertEquals(fixture.plain("state", "127.0.0.1:1").code(), ExitCode.FAILED);
    }
}
