package org.redwinghook.runtime.config;

import java.util.List;
import java.util.function.Consumer;

import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Withdrawal;
import org.redwinghook.core.message.Message;

/** A configuration that never changes, for tests. */
public final class FixedConfigurationSource implements ConfigurationService {

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
        // A fixed configuration never changes.
    }

    @Override
    public void onConfirmed(Runnable listener) {
        // A fixed configuration is never confirmed.
    }

    @Override
    public void start() {
        // Nothing to follow.
    }

    @Override
    public void stop() {
        // Nothing to follow.
    }

    @Override
    public boolean isReady() {
        return true;
    }

    @Override
    public void updateMemberCounts(int liveRouters, int peers) {
        // Nothing depends on the number of members.
    }

    @Override
    public boolean withdraw(Withdrawal withdrawal) {
        return false;
    }

    @Override
    public List<Withdrawal> withdrawals() {
        return List.of();
    }

    @Override
    public void handleConnected(ConfigurationPeer peer) {
        // Nothing to exchange.
    }

    @Override
    public void handleMessage(ConfigurationPeer peer, Message message) {
        // Nothing to exchange.
    }

    @Override
    public void handleDisconnected(ConfigurationPeer peer) {
        // Nothing to exchange.
    }
}
