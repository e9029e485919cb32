package org.redwinghook.core.config;

import java.util.HashMap;
import java.util.Map;

import org.redwinghook.core.document.Findings;
import org.redwinghook.core.document.YamlMap;

/**
 * Builds the typed configuration from parsed sections. Sections must be added in name order: if two sections define the
 * same entry, the first one wins, and all processes must choose the same one.
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
            availabilityByName(availability.kind())
                    .put(SectionKind.nameWithin(section.name()), availability.availability());
        }
    }

    private Map<String, Availability> availabilityByName(PlaceKind kind) {
        return kind == PlaceKind.DATA_CENTRE ? dataCentreAvailability : vmAvailability;
    }
}
