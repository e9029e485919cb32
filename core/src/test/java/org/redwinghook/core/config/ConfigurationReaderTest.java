package org.redwinghook.core.config;

import java.util.List;

import org.redwinghook.core.document.Finding;
import org.testng.annotations.Test;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

public final class ConfigurationReaderTest {

    private static final String HASH = "6ac69aae698b3bc69ae3128df58444a79c511bfaf9ccd7889057993e4e9186de";

    private static List<String> findings(String text) {
        return ConfigurationReader.read("c.yaml", text).swap().getOrElse(List.of()).stream()
                .map(Finding::toString)
                .toList();
    }

    public static final class Values {

        /** Guards against findings that hide later ones or report a wrong position. */
        @Test
        public void allWrongValuesAreReportedWithTheirPositions() {
            String text = String.join(
                    "\n",
                    "owners:",
                    "  a: {weight: heavy}",
                    "rules: {attempts: 99, speed: 1}",
                    "places:",
                    "  x: {}",
                    "colours: {}",
                    "services.team: {s: {kind: motor, owner: a}}");
            assertEquals(
                    findings(text),
                    List.of(
                            "c.yaml:2:7: owners.a.weight: must be a number, not 'heavy'",
                            "c.yaml:3:9: rules.attempts: must be from 1 to 10, not 99",
                            "c.yaml:3:23: rules.speed: is not a known key",
                            "c.yaml:5:6: places.x.region: is missing",
                            "c.yaml:6:1: colours: is not a known section",
                            "c.yaml:7:21: services.team.s.kind: must be one of engine, plain, not 'motor'"));
        }

        /** Guards against a parser exception escaping or losing its position. */
        @Test
        public void brokenYamlIsOneFindingWithItsPosition() {
            List<String> findings = findings("owners:\n  a: {weight: 1\nrules: {}\n");
            assertEquals(findings.size(), 1);
            assertTrue(findings.get(0).startsWith("c.yaml:3:"), findings.get(0));
        }

        /** Guards against a section name of the wrong form or an entry given twice being accepted. */
        @Test
        public void namesAreChecked() {
            assertEquals(
                    findings("owners.x: {}\navailability: {}\nowners: {a: {}, a: {}}"),
                    List.of(
                            "c.yaml:1:1: owners.x: is not a known section",
                            "c.yaml:2:1: availability: is not a known section",
                            "c.yaml:3:17: owners.a: appears twice"));
        }

        /** Guards against documents with sections that are too large for any process to accept. */
        @Test
        public void sizesAreFindings() {
            StringBuilder text = new StringBuilder("owners:\n");
            for (int owner = 0; owner < 4_000; owner++) {
                text.append("  owner-").append(owner).append(": {weight: 1}\n");
            }
            List<String> findings = findings(text.toString());
            assertEquals(findings.size(), 1);
            assertTrue(findings.get(0).startsWith("c.yaml:1:1: owners: the section has "), findings.get(0));
        }

        /** Guards against endless expansion of recursive aliases. */
        @Test
        public void recursiveAliasIsAFinding() {
            assertTrue(!findings("owners: {a: &a {weight: 1, more: *a}}").isEmpty());
            assertTrue(!findings("rules: {attempts: &a [*a]}").isEmpty());
            assertEquals(
                    findings("owners: " + "[".repeat(100) + "]".repeat(100)),
                    List.of("c.yaml:1:40: nested deeper than 32"));
        }
    }

    public static final class Engines {

        /** Guards against desired engine states that are misread, and invalid ones that are accepted. */
        @Test
        public void desiredStateIsReadWithFindings() {
            String text = "owners: {a: {}}\nservices: {s: {kind: engine, owner: a, engine: "
                    + "{version: v2, adapters: [x, y], role: decode, drainBeforeChange: true}}, t: {owner: a}}";
            Configuration read = ConfigurationReader.read("c.yaml", text).get();
            assertEquals(
                    read.services().get("s").engine(), new DesiredEngine("", "v2", List.of("x", "y"), "decode", true));
            assertEquals(read.services().get("t").engine(), DesiredEngine.UNSPECIFIED);
            String wrong = "owners: {a: {}}\nservices:\n  s:\n    owner: a\n    engine:\n"
                    + "      version: [1]\n      speed: 2\n      adapters: ['']\n";
            assertEquals(
                    findings(wrong),
                    List.of(
                            "c.yaml:5:5: services.s.engine: is for services of kind engine only",
                            "c.yaml:6:7: services.s.engine.version: must be a text",
                            "c.yaml:7:7: services.s.engine.speed: is not a known key",
                            "c.yaml:8:7: services.s.engine.adapters: must not contain an empty name"));
        }
    }

    public static final class References {

        /** Guards against references to entries that do not exist and against duplicate entries. */
        @Test
        public void unknownNamesAndRepeatedCredentialsAreReported() {
            String text = String.join(
                    "\n",
                    "owners: {a: {}}",
                    "places: {dc: {region: r}, l: {between: [r, q]}}",
                    "services: {s: {owner: b}}",
                    "customers.x: {c: {owner: b}, d: {owner: a, credentialHashes: [" + HASH + "]}}",
                    "customers.y: {e: {owner: a, credentialHashes: [" + HASH + "]}, d: {owner: a}}",
                    "availability.dd: {dataCentre: out}",
                    "availability.dc: {dataCentre: out}");
            assertEquals(
                    findings(text),
                    List.of(
                            "c.yaml:2:31: places.l.between: names the unknown region 'q'",
                            "c.yaml:3:16: services.s.owner: names the unknown owner 'b'",
                            "c.yaml:4:19: customers.x.c.owner: names the unknown owner 'b'",
                            "c.yaml:5:29: customers.y.e.credentialHashes: repeats a credential of customer 'd'",
                            "c.yaml:5:116: customers.y.d: is also in section 'customers.x'",
                            "c.yaml:6:19: availability.dd.dataCentre: section names the unknown data centre 'dd'"));
        }

        /** Guards against layout, quotes or number forms changing the text that is compared and published. */
        @Test
        public void equalEntriesHaveOneText() {
            String one = "owners: {a: {weight: 2.5}}\nservices: {s: {owner: \"a\", checksFencing: true}}";
            String other = "owners:\n  a:\n    weight: 2.5\nservices:\n  s:\n    owner: a\n    checksFencing: true\n";
            ConfigurationDocument first =
                    ConfigurationReader.readDocument("one", one).get();
            ConfigurationDocument second =
                    ConfigurationReader.readDocument("other", other).get();
            first.sections()
                    .forEach((name, section) -> assertEquals(
                            section.texts(), second.sections().get(name).texts()));
            assertEquals(first.sections().get("owners").texts().get("a"), "{\"weight\": 2.5}");
            assertTrue(first.configuration().services().get("s").checksFencing());
        }
    }
}
