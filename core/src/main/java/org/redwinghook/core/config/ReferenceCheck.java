package org.redwinghook.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.redwinghook.core.document.YamlMap;

/** Checks the references between sections. Running processes accept a configuration despite such findings. */
final class ReferenceCheck {

    private final List<ParsedSection> sections = new ArrayList<>();
    private final Set<String> owners = new HashSet<>();
    private final Set<String> dataCentres = new HashSet<>();
    private final Set<String> regions = new HashSet<>();
    private final Map<String, String> sectionByCustomer = new HashMap<>();
    private final Map<String, String> sectionByService = new HashMap<>();
    private final Map<String, String> customerByHash = new HashMap<>();

    void add(String name, YamlMap map, Map<String, SectionEntry> entries) {
        sections.add(new ParsedSection(name, map, entries));
        for (SectionEntry entry : entries.values()) {
            if (entry instanceof Owner owner) {
                owners.add(owner.name());
            } else if (entry instanceof DataCentre dataCentre) {
                dataCentres.add(dataCentre.name());
                regions.add(dataCentre.region());
            }
        }
    }

    void report() {
        for (ParsedSection section : sections) {
            for (SectionEntry entry : section.entries().values()) {
                if (entry instanceof Customer customer) {
                    checkCustomer(section, customer);
                } else if (entry instanceof Service service) {
                    YamlMap map = section.map().map(service.name());
                    checkOwner(map, service.owner());
                    checkUnique(section, service.name(), sectionByService);
                } else if (entry instanceof Link link) {
                    checkRegions(section.map().map(link.name()), link);
                } else if (entry instanceof AvailabilityEntry availability) {
                    checkDataCentre(section, availability);
                }
            }
        }
    }

    private void checkCustomer(ParsedSection section, Customer customer) {
        YamlMap map = section.map().map(customer.name());
        checkOwner(map, customer.owner());
        checkUnique(section, customer.name(), sectionByCustomer);
        for (String hash : customer.credentialHashes()) {
            String other = customerByHash.putIfAbsent(hash, customer.name());
            if (other != null) {
                map.reportAt("credentialHashes", "repeats a credential of customer '" + other + "'");
            }
        }
    }

    private void checkOwner(YamlMap map, String owner) {
        if (!owner.isEmpty() && !owners.contains(owner)) {
            map.reportAt("owner", "names the unknown owner '" + owner + "'");
        }
    }

    private static void checkUnique(ParsedSection section, String entry, Map<String, String> sectionByEntry) {
        String other = sectionByEntry.putIfAbsent(entry, section.name());
        if (other != null) {
            section.map().reportAt(entry, "is also in section '" + other + "'");
        }
    }

    private void checkRegions(YamlMap map, Link link) {
        for (String region : link.between()) {
            if (!regions.contains(region)) {
                map.reportAt("between", "names the unknown region '" + region + "'");
            }
        }
    }

    private void checkDataCentre(ParsedSection section, AvailabilityEntry entry) {
        String name = SectionKind.nameWithin(section.name());
        if (entry.kind() == PlaceKind.DATA_CENTRE && !dataCentres.contains(name)) {
            section.map().reportAt(entry.kind().key(), "section names the unknown data centre '" + name + "'");
        }
    }

    private record ParsedSection(String name, YamlMap map, Map<String, SectionEntry> entries) {}
}
