package org.redwinghook.runtime.config;

import java.util.List;

import org.redwinghook.core.config.Withdrawal;

/** Provides the configuration of a process and exchanges it with other processes. */
public interface ConfigurationService extends ConfigurationSource, PeerListener {

    /** Starts following the configuration. */
    void start();

    /** Stops following the configuration. */
    void stop();

    /**
     * Returns whether the configuration is complete enough to serve requests.
     *
     * @return false until the configuration has been read from the log or from peers
     */
    boolean isReady();

    /**
     * Applies an operator's withdrawal and relays it to the peers.
     *
     * @param withdrawal the withdrawal
     * @return whether the withdrawal was added; false if it is already in force or if the section has a newer version
     *     than the one that the withdrawal is based on
     */
    boolean withdraw(Withdrawal withdrawal);

    /**
     * Returns the withdrawals in force.
     *
     * @return the withdrawals
     */
    List<Withdrawal> withdrawals();
}
