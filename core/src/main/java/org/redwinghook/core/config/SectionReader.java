package org.redwinghook.core.config;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;
import java.util.regex.Pattern;

import org.redwinghook.core.document.YamlMap;

/** Reads the entries of a section by its kind; wrong values become findings of the mapping. */
final class SectionReader {

    private static final long LARGEST_TOKENS_PER_MINUTE = 1_000_000_000L;
    private static final int LARGEST_OUTPUT = 1_000_000;
    private static final double LARGEST_LINK_MEGABITS = 10_000_000;
    private static final Pattern SHA_256 = Pattern.compile("[0-9a-f]{64}");

    private SectionReader() {}

    static Map<String, SectionEntry> read(SectionKind kind, YamlMap section) {
        return switch (kind) {
            case OWNERS -> entries(section, SectionReader::owner);
            case CUSTOMERS -> entries(section, SectionReader::customer);
            case SERVICES -> entries(section, SectionReader::service);
            case PLACES -> entries(section, SectionReader::place);
            case AVAILABILITY -> availability(section);
            case RULES -> ruleEntries(section);
        };
    }

    static Rules rules(YamlMap map) {
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

    private static Map<String, SectionEntry> entries(YamlMap map, BiFunction<String, YamlMap, SectionEntry> reader) {
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

    private static Map<String, SectionEntry> ruleEntries(YamlMap map) {
        rules(map);
        Map<String, SectionEntry> result = new LinkedHashMap<>();
        map.keys().forEach(name -> result.put(name, new RuleEntry(name)));
        return result;
    }

    private static Map<String, SectionEntry> availability(YamlMap map) {
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

    private static SectionEntry place(String name, YamlMap entry) {
        if (!entry.has("between")) {
            return new DataCentre(name, entry.text("region"));
        }
        List<String> regions = entry.texts("between");
        if (regions.size() != 2 || regions.get(0).equals(regions.get(1))) {
            entry.reportAt("between", "must name two regions");
        }
        return new Link(name, regions, entry.decimal("megabitsPerSecond", 0.001, LARGEST_LINK_MEGABITS, 20));
    }

    private static SectionEntry owner(String name, YamlMap entry) {
        return new Owner(name, entry.decimal("weight", 0.001, 1000, 1));
    }

    private static SectionEntry service(String name, YamlMap entry) {
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
                (int) entry.number("maximumOutputTokens", 1, LARGEST_OUTPUT, 32_768),
                entry.flag("checksFencing", false),
                (int) entry.number("maximumConcurrency", 1, 10_000, 32),
                desiredEngine(entry, kind),
                operations);
    }

    private static DesiredEngine desiredEngine(YamlMap entry, ServiceKind kind) {
        if (!entry.has("engine")) {
            return DesiredEngine.NO_WISH;
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

    private static SectionEntry customer(String name, YamlMap entry) {
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
                entry.number("tokensPerMinute", 1, LARGEST_TOKENS_PER_MINUTE, 100_000),
                entry.decimal("weight", 0.001, 1000, 1),
                (int) entry.number("priority", 0, 9, 5));
    }
}
