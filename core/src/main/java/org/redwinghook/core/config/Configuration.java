package org.redwinghook.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * The configuration in force, as one immutable value.
 *
 * @param offset offset on the log through which it was folded; 0 for a document that is not on the log
 * @param owners owners by name
 * @param customers customers by name
 * @param services services by name
 * @param dataCentres data centres by name
 * @param links links between regions by name
 * @param dataCentreAvailability data centres that operators have set, by name; others are in
 * @param vmAvailability VMs that operators have set, by name; others are in
 * @param rules rules of the deployment
 * @param sections version and team of each section, by name
 */
public record Configuration(
        long offset,
        Map<String, Owner> owners,
        Map<String, Customer> customers,
        Map<String, Service> services,
        Map<String, DataCentre> dataCentres,
        Map<String, Link> links,
        Map<String, Availability> dataCentreAvailability,
        Map<String, Availability> vmAvailability,
        Rules rules,
        Map<String, SectionVersion> sections) {

    /** A configuration with nothing in it. */
    public static final Configuration EMPTY = new Configuration(
            0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Rules.DEFAULT, Map.of());

    public Configuration {
        owners = Map.copyOf(owners);
        customers = Map.copyOf(customers);
        services = Map.copyOf(services);
        dataCentres = Map.copyOf(dataCentres);
        links = Map.copyOf(links);
        dataCentreAvailability = Map.copyOf(dataCentreAvailability);
        vmAvailability = Map.copyOf(vmAvailability);
        sections = Map.copyOf(sections);
    }

    /**
     * Finds a service.
     *
     * @param name name of the service
     * @return the service
     */
    public Optional<Service> service(String name) {
        return Optional.ofNullable(services.get(name));
    }

    /**
     * Whether operators let a VM of a data centre take new work.
     *
     * @param dataCentre data centre of the VM
     * @param vm name of the VM
     * @return true if neither is out
     */
    public boolean takesNewWork(String dataCentre, String vm) {
        return dataCentreAvailability.get(dataCentre) != Availability.OUT && vmAvailability.get(vm) != Availability.OUT;
    }

    /**
     * Version of a section.
     *
     * @param section name of the section
     * @return its version and team
     */
    public SectionVersion version(String section) {
        return sections.getOrDefault(section, SectionVersion.ABSENT);
    }

    /**
     * Applies withdrawal notices. A notice that is based on an older version than the section's is ignored.
     *
     * @param withdrawals the notices
     * @return this configuration with the places of the notices out
     */
    public Configuration withWithdrawals(Collection<Withdrawal> withdrawals) {
        Map<String, Availability> ofDataCentres = new HashMap<>(dataCentreAvailability);
        Map<String, Availability> ofVms = new HashMap<>(vmAvailability);
        for (Withdrawal withdrawal : withdrawals) {
            if (version(withdrawal.section()).version() <= withdrawal.basedOn()) {
                (withdrawal.kind() == PlaceKind.DATA_CENTRE ? ofDataCentres : ofVms)
                        .put(withdrawal.name(), Availability.OUT);
            }
        }
        return new Configuration(
                offset, owners, customers, services, dataCentres, links, ofDataCentres, ofVms, rules, sections);
    }

    /**
     * Region of a data centre.
     *
     * @param dataCentre name of the data centre
     * @return the region, or the data centre's own name if the document does not know it
     */
    public String regionOf(String dataCentre) {
        DataCentre known = dataCentres.get(dataCentre);
        return known == null ? dataCentre : known.region();
    }
}
