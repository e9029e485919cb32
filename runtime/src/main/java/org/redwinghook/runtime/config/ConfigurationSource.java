package org.redwinghook.runtime.config;

import java.util.function.Consumer;

import org.redwinghook.core.config.Configuration;

/** Gives the configuration in force. */
public interface ConfigurationSource {

    /**
     * The configuration in force now.
     *
     * @return the configuration; empty before the first one is known
     */
    Configuration current();

    /**
     * Adds a listener that is called with each later configuration.
     *
     * @param listener called on the event loop of the process
     */
    void onChange(Consumer<Configuration> listener);

    /**
     * Adds a listener that is called whenever the log or another process shows that the configuration in force is the
     * newest one known there, also without a change.
     *
     * @param listener called on the event loop of the process
     */
    void onConfirmed(Runnable listener);
}
