package org.redwinghook.runtime.config;

import java.util.function.Consumer;

import org.redwinghook.core.config.Configuration;

/** A configuration that never changes. */
public final class FixedConfigurationSource implements ConfigurationSource {

    private final Configuration configuration;

    /**
     * Creates the source.
     *
     * @param configuration the configuration
     */
    public FixedConfigurationSource(Configuration configuration) {
        this.configuration = configuration;
    }

    @Override
    public Configuration current() {
        return configuration;
    }

    @Override
    public void onChange(Consumer<Configuration> listener) {
        // A fixed configuration has no changes to report.
    }
}
