package org.redwinghook.router.forward;

import java.util.List;

import io.vavr.control.Either;
import org.redwinghook.core.document.Finding;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against routers that start with invalid or incomplete settings. */
public class ForwardingSettingsTest {

    private static final String VALID = """
            process: router-1
            dataCentre: dc-1
            regions: {"dc-1": "region-1"}
            caller: "10.0.0.1:80"
            ready: "10.0.0.1:81"
            readyPath: /ready
            peer: "10.0.0.1:82"
            admin: "10.0.0.1:83"
            store: "10.0.0.2:84"
            stopMillis: 8000
            retries: {share: 0.2, slack: 52}
            """;

    @Test
    public void readsValidSettings() {
        ForwardingSettings settings = read(VALID).get();
        Assert.assertEquals(settings.caller().toString(), "10.0.0.1:80");
        Assert.assertEquals(settings.regions().get("dc-1"), "region-1");
        Assert.assertEquals(settings.retrySlack(), 52);
    }

    @Test
    public void allFindingsAreReportedWithTheirFile() {
        String text = VALID.replace("process: router-1\n", "")
                .replace("\"10.0.0.2:84\"", "\"10.0.0.2\"")
                .replace("stopMillis: 8000", "stopMillis: 0\nunknown: 1");
        List<Finding> findings = read(text).getLeft();
        Assert.assertEquals(findings.size(), 4, findings.toString());
        Assert.assertTrue(
                findings.stream().allMatch(finding -> finding.toString().contains("settings.yaml:")),
                findings.toString());
    }

    @Test
    public void portOutOfRangeIsAFinding() {
        Assert.assertTrue(read(VALID.replace("10.0.0.1:83", "10.0.0.1:70000")).isLeft());
    }

    private static Either<List<Finding>, ForwardingSettings> read(String text) {
        return ForwardingSettings.read("settings.yaml", text);
    }
}
