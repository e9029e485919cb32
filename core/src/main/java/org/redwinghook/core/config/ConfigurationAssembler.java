package org.redwinghook.core.config;

import java.util.HashMap;
import java.util.Map;

import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;

/**
 * Puts the typed configuration together from sections that have been read before. Sections are to be added in order of
 * their names: where two name the same entry, the first one counts in each process.
 */
final class ConfigurationAssembler {

    private final long offset;
    private final Map<String, Owner> owners = new HashMap<>();
    private final Map<String, Customer> customers = new HashMap<>();
    private final Map<String, Service> services = new HashMap<>();
    private final Map<String, DataCentre> dataCentres = new HashMap<>();
    private final Map<String, Link> links = new HashMap<>();
    private final Map<String, Availability> dataCentreAvailability = new HashMap<>();
    private final Map<String, Availability> vmAvailability = new HashMap<>();
    private final Map<String, SectionVersion> versions = new HashMap<>();
    private Rules rules = Rules.DEFAULT;

    ConfigurationAssembler(long offset) {
        this.offset = offset;
    }

    void add(Section section, SectionVersion version) {
        versions.put(section.name(), version);
        if (section.kind() == SectionKind.RULES) {
            rules = SectionReader.readRules(YamlMap.ofTexts(section.name(), section.texts(), new Findings()));
            return;
        }
        section.entries().values().forEach(entry -> add(section, entry));
    }

    Configuration toConfiguration() {
        return new Configuration(
                offset,
                owners,
                customers,
                services,
                dataCentres,
                links,
                dataCentreAvailability,
                vmAvailability,
                rules,
                versions);
    }

    private void add(Section section, SectionEntry entry) {
        if (entry instanceof Customer customer) {
            customers.putIfAbsent(customer.name(), customer);
        } else if (entry instanceof Service service) {
            services.putIfAbsent(service.name(), service);
        } else if (entry instanceof Owner owner) {
            owners.putIfAbsent(owner.name(), owner);
        } else if (entry instanceof DataCentre dataCentre) {
            dataCentres.putIfAbsent(dataCentre.name(), dataCentre);
        } else if (entry instanceof Link link) {
            links.putIfAbsent(link.name(), link);
        } else if (entry instanceof AvailabilityEntry availability) {
            availability(availability.kind()).put(SectionKind.nameWithin(section.name()), availability.availability());
        }
    }

    private Map<String, Availability> availability(PlaceKind kind) {
        return kind == PlaceKind.DATA_CENTRE ? dataCentreAvailability : vmAvailability;
    }
}
