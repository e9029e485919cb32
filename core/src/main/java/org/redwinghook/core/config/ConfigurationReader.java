package org.redwinghook.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

import io.vavr.control.Either;
import org.redwinghook.core.document.Finding;
import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;

/** Reads a whole configuration document and reports everything that is wrong with it. */
public final class ConfigurationReader {

    private static final long LARGEST_TOKENS_PER_MINUTE = 1_000_000_000L;
    private static final int LARGEST_OUTPUT = 1_000_000;

    private ConfigurationReader() {}

    /**
     * Reads a document.
     *
     * @param file name for findings
     * @param text the document
     * @return the configuration, or all findings
     */
    public static Either<List<Finding>, Configuration> read(String file, String text) {
        Findings findings = new Findings();
        YamlMap top = YamlMap.parse(file, text, findings);
        Map<String, Owner> owners = entries(top.map("owners"), ConfigurationReader::owner);
        Map<String, DataCentre> dataCentres = entries(top.map("places"), ConfigurationReader::dataCentre);
        Map<String, Service> services = entries(top.map("services"), ConfigurationReader::service);
        Map<String, Customer> customers = entries(top.map("customers"), ConfigurationReader::customer);
        YamlMap availability = top.map("availability");
        Map<String, Availability> dataCentreAvailability = availability(availability.map("dataCentres"));
        Map<String, Availability> vmAvailability = availability(availability.map("vms"));
        availability.rejectUnknownKeys();
        Rules rules = rules(top.map("rules"));
        top.rejectUnknownKeys();
        return findings.resultOf(new Configuration(
                0, owners, customers, services, dataCentres, dataCentreAvailability, vmAvailability, rules));
    }

    private static <T> Map<String, T> entries(YamlMap map, BiFunction<String, YamlMap, T> reader) {
        Map<String, T> result = new LinkedHashMap<>();
        for (String name : map.keys()) {
            YamlMap entry = map.map(name);
            result.put(name, reader.apply(name, entry));
            entry.rejectUnknownKeys();
        }
        return result;
    }

    private static Owner owner(String name, YamlMap entry) {
        return new Owner(name, entry.decimal("weight", 0.001, 1000, 1));
    }

    private static DataCentre dataCentre(String name, YamlMap entry) {
        return new DataCentre(name, entry.text("region"));
    }

    private static Service service(String name, YamlMap entry) {
        List<Operation> operations = new ArrayList<>();
        for (YamlMap operation : entry.maps("operations")) {
            operations.add(new Operation(
                    operation.text("method"), operation.text("path"), operation.flag("idempotent", false)));
            operation.rejectUnknownKeys();
        }
        return new Service(
                name,
                entry.choice("kind", ServiceKind.class, ServiceKind.PLAIN),
                entry.text("owner"),
                (int) entry.number("maximumOutputTokens", 1, LARGEST_OUTPUT, 32_768),
                entry.flag("checksFencing", false),
                (int) entry.number("maximumConcurrency", 1, 10_000, 32),
                operations);
    }

    private static Customer customer(String name, YamlMap entry) {
        return new Customer(
                name,
                entry.text("owner"),
                entry.texts("credentialHashes"),
                entry.decimal("requestsPerSecond", 0.001, 100_000, 10),
                entry.number("tokensPerMinute", 1, LARGEST_TOKENS_PER_MINUTE, 100_000),
                entry.decimal("weight", 0.001, 1000, 1),
                (int) entry.number("priority", 0, 9, 5));
    }

    private static Map<String, Availability> availability(YamlMap map) {
        Map<String, Availability> result = new LinkedHashMap<>();
        for (String name : map.keys()) {
            result.put(name, map.choice(name, Availability.class, Availability.IN));
        }
        return result;
    }

    private static Rules rules(YamlMap map) {
        Rules standard = Rules.DEFAULT;
        Rules rules = new Rules(
                map.decimal("retryShare", 0, 1, standard.retryShare()),
                (int) map.number("attempts", 1, 10, standard.attempts()),
                (int) map.number("quickTokens", 1, LARGEST_OUTPUT, standard.quickTokens()),
                (int) map.number("concurrentWeightLoads", 1, 1000, standard.concurrentWeightLoads()),
                map.number("resumeWindowMillis", 1000, 3_600_000, standard.resumeWindowMillis()),
                map.number("idempotencyWindowMillis", 60_000, 604_800_000, standard.idempotencyWindowMillis()));
        map.rejectUnknownKeys();
        return rules;
    }
}
