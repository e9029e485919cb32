package org.redwinghook.sidecar.peer;

import org.redwinghook.core.admission.FairShares;
import org.redwinghook.core.config.Customer;
import org.redwinghook.core.config.Owner;
import org.redwinghook.runtime.config.ConfigurationSource;

/** Weights of owners and customers in the current configuration; those that it does not contain have weight 1. */
public final class ConfiguredShares implements FairShares {

    private final ConfigurationSource configuration;

    /**
     * Creates the weights.
     *
     * @param configuration source of the configuration
     */
    public ConfiguredShares(ConfigurationSource configuration) {
        this.configuration = configuration;
    }

    @Override
    public double ownerWeight(String owner) {
        Owner configured = configuration.current().owners().get(owner);
        return configured == null ? 1 : configured.weight();
    }

    @Override
    public double customerWeight(String customer) {
        Customer configured = configuration.current().customers().get(customer);
        return configured == null ? 1 : configured.weight();
    }
}
