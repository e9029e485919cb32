package org.redwinghook.core.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable configuration in force.
 *
 * @param offset log offset through which records have been folded into it; 0 for a document that is not on the log
 * @param owners owners by name
 * @param customers customers by name
 * @param services services by name
 * @param dataCentres data centres by name
 * @param links links between regions by name
 * @param dataCentreAvailability availability that operators have set, by data centre name; data centres without an
 *     entry are in
 * @param vmAvailability availability that operators have set, by VM name; VMs without an entry are in
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

    /** Empty configuration with the default rules. */
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
     * @return true if neither the data centre nor the VM is out
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
     * Applies withdrawal notices. A notice that is based on a version older than the section's current one is ignored.
     *
     * @param withdrawals the notices
     * @return a copy of this configuration in which the data centres and VMs of the notices are out
     */
    public Configuration withWithdrawals(Collection<Withdrawal> withdrawals) {
        Map<String, Availability> newDataCentreAvailability = new HashMap<>(dataCentreAvailability);
        Map<String, Availability> newVmAvailability = new HashMap<>(vmAvailability);
        for (Withdrawal withdrawal : withdrawals) {
            if (version(withdrawal.section()).version() <= withdrawal.basedOn()) {
                (withdrawal.kind() == PlaceKind.DATA_CENTRE ? newDataCentreAvailability : newVmAvailability)
                        .put(withdrawal.name(), Availability.OUT);
            }
        }
        return new Configuration(
                offset,
                owners,
                customers,
                services,
                dataCentres,
                links,
                newDataCentreAvailability,
                newVmAvailability,
                rules,
                sections);
    }

    /**
     * Region of a data centre.
     *
     * @param dataCentre name of the data centre
     * @return the region, or the data centre's own name if the configuration does not define the data centre
     */
    public String regionOf(String dataCentre) {
        DataCentre known = dataCentres.get(dataCentre);
        return known == null ? dataCentre : known.region();
    }
}
