package org.redwinghook.runtime.config;

import java.util.function.Consumer;

import org.redwinghook.core.config.Configuration;

/** Provides the configuration in force. */
public interface ConfigurationSource {

    /**
     * Returns the configuration in force.
     *
     * @return the configuration; empty until the first one has been read
     */
    Configuration current();

    /**
     * Adds a listener for changes of the configuration.
     *
     * @param listener called on the event loop of the process
     */
    void onChange(Consumer<Configuration> listener);

    /**
     * Adds a listener that is called whenever the log or a peer confirms that it has no newer configuration than the
     * one in force, also when nothing has changed.
     *
     * @param listener called on the event loop of the process
     */
    void onConfirmed(Runnable listener);
}
