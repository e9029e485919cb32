package org.redwinghook.runtime.config;

import java.util.List;

import org.redwinghook.core.config.Withdrawal;

/** Gives a process its configuration and takes part in spreading it. */
public interface ConfigurationService extends ConfigurationSource, PeerListener {

    /** Starts to follow the configuration. */
    void start();

    /** Stops to follow the configuration. */
    void stop();

    /**
     * Whether the configuration is complete enough to serve.
     *
     * @return false before a configuration is known
     */
    boolean isReady();

    /**
     * Takes an operator's withdrawal and passes it on.
     *
     * @param withdrawal the withdrawal
     * @return whether it restricts anything; false if the section has a newer version than it is based on
     */
    boolean withdraw(Withdrawal withdrawal);

    /**
     * Withdrawals that hold.
     *
     * @return the withdrawals
     */
    List<Withdrawal> withdrawals();
}
