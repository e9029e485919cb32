package org.redwinghook.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.regex.Pattern;

import org.redwinghook.core.document.YamlMap;

/** Parses the entries of a section according to its kind. Invalid values are reported as findings. */
final class SectionReader {

    private static final long MAXIMUM_TOKENS_PER_MINUTE = 1_000_000_000L;
    private static final int MAXIMUM_OUTPUT_TOKENS = 1_000_000;
    private static final double MAXIMUM_LINK_MEGABITS_PER_SECOND = 10_000_000;
    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    private SectionReader() {}

    static Map<String, SectionEntry> read(SectionKind kind, YamlMap section) {
        return switch (kind) {
            case OWNERS -> readEntries(section, SectionReader::readOwner);
            case CUSTOMERS -> readEntries(section, SectionReader::readCustomer);
            case SERVICES -> readEntries(section, SectionReader::readService);
            case PLACES -> readEntries(section, SectionReader::readPlace);
            case AVAILABILITY -> readAvailability(section);
            case RULES -> readRuleEntries(section);
        };
    }

    static Rules readRules(YamlMap map) {
        Rules defaults = Rules.DEFAULT;
        Rules rules = new Rules(
                map.decimal("retryShare", 0, 1, defaults.retryShare()),
                (int) map.number("attempts", 1, 10, defaults.attempts()),
                (int) map.number("quickTokens", 1, MAXIMUM_OUTPUT_TOKENS, defaults.quickTokens()),
                (int) map.number("concurrentWeightLoads", 1, 1000, defaults.concurrentWeightLoads()),
                map.number("resumeWindowMillis", 1000, 3_600_000, defaults.resumeWindowMillis()),
                map.number("idempotencyWindowMillis", 60_000, 604_800_000, defaults.idempotencyWindowMillis()));
        map.rejectUnknownKeys();
        return rules;
    }

    private static Map<String, SectionEntry> readEntries(
            YamlMap map, BiFunction<String, YamlMap, SectionEntry> reader) {
        Map<String, SectionEntry> result = new LinkedHashMap<>();
        for (String name : map.keys()) {
            if (name.isBlank()) {
                map.reportAt(name, "an entry's name must not be empty");
            }
            YamlMap entry = map.map(name);
            result.put(name, reader.apply(name, entry));
            entry.rejectUnknownKeys();
        }
        return result;
    }

    private static Map<String, SectionEntry> readRuleEntries(YamlMap map) {
        readRules(map);
        Map<String, SectionEntry> result = new LinkedHashMap<>();
        map.keys().forEach(name -> result.put(name, new RuleEntry(name)));
        return result;
    }

    private static Map<String, SectionEntry> readAvailability(YamlMap map) {
        Map<String, SectionEntry> result = new LinkedHashMap<>();
        for (PlaceKind kind : PlaceKind.values()) {
            if (map.has(kind.key())) {
                Availability availability = map.choice(kind.key(), Availability.class, Availability.IN);
                result.put(kind.key(), new AvailabilityEntry(kind, availability));
            }
        }
        map.rejectUnknownKeys();
        return result;
    }

    private static SectionEntry readPlace(String name, YamlMap entry) {
        if (!entry.has("between")) {
            return new DataCentre(name, entry.text("region"));
        }
        List<String> regions = entry.texts("between");
        if (regions.size() != 2 || regions.get(0).equals(regions.get(1))) {
            entry.reportAt("between", "must name two regions");
        }
        return new Link(name, regions, entry.decimal("megabitsPerSecond", 0.001, MAXIMUM_LINK_MEGABITS_PER_SECOND, 20));
    }

    private static SectionEntry readOwner(String name, YamlMap entry) {
        return new Owner(name, entry.decimal("weight", 0.001, 1000, 1));
    }

    private static SectionEntry readService(String name, YamlMap entry) {
        List<Operation> operations = new ArrayList<>();
        for (YamlMap operation : entry.maps("operations")) {
            operations.add(new Operation(
                    operation.text("method"), operation.text("path"), operation.flag("idempotent", false)));
            operation.rejectUnknownKeys();
        }
        ServiceKind kind = entry.choice("kind", ServiceKind.class, ServiceKind.PLAIN);
        return new Service(
                name,
                kind,
                entry.text("owner"),
                (int) entry.number("maximumOutputTokens", 1, MAXIMUM_OUTPUT_TOKENS, 32_768),
                entry.flag("checksFencing", false),
                (int) entry.number("maximumConcurrency", 1, 10_000, 32),
                readDesiredEngine(entry, kind),
                operations);
    }

    private static DesiredEngine readDesiredEngine(YamlMap entry, ServiceKind kind) {
        if (!entry.has("engine")) {
            return DesiredEngine.UNSPECIFIED;
        }
        if (kind != ServiceKind.ENGINE) {
            entry.reportAt("engine", "is for services of kind engine only");
        }
        YamlMap engine = entry.map("engine");
        DesiredEngine desired = new DesiredEngine(
                engine.text("model", ""),
                engine.text("version", ""),
                engine.texts("adapters"),
                engine.text("role", ""),
                engine.flag("drainBeforeChange", false));
        engine.rejectUnknownKeys();
        if (desired.adapters().contains("")) {
            engine.reportAt("adapters", "must not contain an empty name");
        }
        return desired;
    }

    private static SectionEntry readCustomer(String name, YamlMap entry) {
        List<String> hashes = entry.texts("credentialHashes");
        for (String hash : hashes) {
            if (!SHA_256.matcher(hash).matches()) {
                entry.reportAt("credentialHashes", "must be SHA-256 hashes of 64 lower-case hexadecimal digits");
                break;
            }
        }
        return new Customer(
                name,
                entry.text("owner"),
                hashes,
                entry.decimal("requestsPerSecond", 0.001, 100_000, 10),
                entry.number("tokensPerMinute", 1, MAXIMUM_TOKENS_PER_MINUTE, 100_000),
                entry.decimal("weight", 0.001, 1000, 1),
                (int) entry.number("priority", 0, 9, 5));
    }
}
