package org.redwinghook.operator;

import java.util.List;

import io.vertx.core.json.JsonObject;
import org.redwinghook.core.usage.UsageCounts;
import org.redwinghook.core.usage.UsageEntry;
import org.redwinghook.core.usage.UsageKey;
import org.redwinghook.core.usage.UsageRecord;
import org.redwinghook.core.usage.UsageSide;
import org.redwinghook.operator.OperatorFixture.CommandRun;
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
     * Guards against a mistyped option being ignored, so that a command does something other than requested.
     *
     * @param command name of the command
     */
    @Test(dataProvider = "commands")
    public void unknownOptionsAreRejected(String command) {
        CommandRun run = fixture.runWithoutAddresses(command, "--forse");
        assertEquals(run.code(), ExitCode.USAGE);
        assertTrue(run.errors().contains("\"--forse\" is not a valid option"), run.errors());
        assertEquals(
                fixture.runWithoutAddresses(command, "--forse", "--json").json().getString("code"), "USAGE");
    }

    /**
     * Guards against a command without help on its options.
     *
     * @param command name of the command
     */
    @Test(dataProvider = "commands")
    public void eachCommandHasHelp(String command) {
        CommandRun run = fixture.runWithoutAddresses(command, "--help");
        assertEquals(run.code(), ExitCode.DONE, run.errors());
        assertTrue(run.output().startsWith("usage: redwinghook " + command), run.output());
        assertTrue(run.output().contains("--json"), run.output());
    }

    /** Guards against commands that run with invalid or missing arguments. */
    @Test
    public void invalidArgumentsAreRejected() {
        assertEquals(fixture.runWithoutAddresses().code(), ExitCode.USAGE);
        assertEquals(fixture.runWithoutAddresses("--help").code(), ExitCode.DONE);
        assertEquals(fixture.runWithoutAddresses("destroy").code(), ExitCode.USAGE);
        assertEquals(fixture.runWithoutAddresses("show", "--log", "127.0.0.1").code(), ExitCode.USAGE);
        assertEquals(fixture.runWithoutAddresses("show").code(), ExitCode.USAGE);
        assertEquals(
                fixture.runWithoutAddresses("out", "rack", "a", "--team", "t").code(), ExitCode.USAGE);
        assertEquals(
                fixture.runWithoutAddresses("show", "--settings", fixture.createFile("lgo: {}\n"))
                        .code(),
                ExitCode.FINDINGS);
    }

    /** Guards against the settings file being ignored. */
    @Test
    public void addressesAreReadFromSettingsFile() {
        String settings = fixture.createFile("log: {port: " + fixture.logPort + "}\n");
        fixture.publish(OperatorFixture.DOCUMENT);
        CommandRun run = fixture.runWithoutAddresses("show", "--settings", settings);
        assertEquals(run.code(), ExitCode.DONE, run.errors());
        assertTrue(run.output().contains("customers: version 1, team platform, 1 entries"), run.output());
    }

    /** Guards against a check that stops at the first finding or leaves out references between sections. */
    @Test
    public void checkReportsAllFindingsWithPositions() {
        String document =
                OperatorFixture.DOCUMENT.replace("region: hu", "regoin: hu").replace("parna, ", "nobody, ");
        CommandRun run = fixture.runWithoutAddresses("check", "--json", fixture.createFile(document));
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
        appendUsageRecord("router-1", UsageSide.ROUTER, 100);
        appendUsageRecord("router-1", UsageSide.ROUTER, 100);
        appendUsageRecord("engine-1", UsageSide.ENDPOINT, 130);
        fixture.createLogClient()
                .append("usage", io.vertx.core.buffer.Buffer.buffer("no record"))
                .await();
        JsonObject usage = fixture.run("use", "--json").json().getJsonObject("result");
        assertEquals(usage.getJsonObject("owners").getJsonObject("parna").getLong("outputTokens"), 100);
        assertEquals(usage.getJsonArray("customers").getJsonObject(0).getString("customer"), "retail");
        CommandRun reconciliation = fixture.run("reconcile");
        assertTrue(
                reconciliation.output().contains("parna retail at copy: 30 tokens not delivered"),
                reconciliation.output());
    }

    private void appendUsageRecord(String process, UsageSide side, long outputTokens) {
        UsageEntry entry =
                new UsageEntry(new UsageKey("parna", "retail", "copy", side), UsageCounts.generation(10, outputTokens));
        UsageRecord usageRecord = new UsageRecord(process, 1, 1, List.of(entry));
        fixture.createLogClient()
                .append("usage", JsonObject.mapFrom(usageRecord).toBuffer())
                .await();
    }

    /** Guards against a failure to read the state dump being reported as success. */
    @Test
    public void statePrintsTheStateDumpOfTheProcess() {
        int port = fixture.startProcess("router-1", 7);
        CommandRun run = fixture.runWithoutAddresses("state", "127.0.0.1:" + port, "--json");
        assertEquals(run.json().getJsonObject("result").getLong("offset"), 7);
        assertEquals(fixture.runWithoutAddresses("state", "127.0.0.1:1").code(), ExitCode.FAILED);
    }
}
