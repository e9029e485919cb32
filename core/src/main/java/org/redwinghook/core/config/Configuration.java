package org.redwinghook.core.config;

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
 * @param dataCentreAvailability data centres that operators have set, by name; others are in
 * @param vmAvailability VMs that operators have set, by name; others are in
 * @param rules rules of the deployment
 */
public record Configuration(
        long offset,
        Map<String, Owner> owners,
        Map<String, Customer> customers,
        Map<String, Service> services,
        Map<String, DataCentre> dataCentres,
        Map<String, Availability> dataCentreAvailability,
        Map<String, Availability> vmAvailability,
        Rules rules) {

    /** A configuration with nothing in it. */
    public static final Configuration EMPTY =
            new Configuration(0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Rules.DEFAULT);

    public Configuration {
        owners = Map.copyOf(owners);
        customers = Map.copyOf(customers);
        services = Map.copyOf(services);
        dataCentres = Map.copyOf(dataCentres);
        dataCentreAvailability = Map.copyOf(dataCentreAvailability);
        vmAvailability = Map.copyOf(vmAvailability);
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
