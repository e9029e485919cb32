package org.redwinghook.sidecar;

import java.util.function.Consumer;
import java.util.function.Supplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.runtime.config.ConfigurationSource;

/** Configuration source that returns the test's current configuration and confirms it at a fixed interval. */
record ChangingConfiguration(Vertx vertx, long confirmationIntervalMillis, Supplier<Configuration> newest)
        implements ConfigurationSource {

    @Override
    public Configuration current() {
        return newest.get();
    }

    @Override
    public void onChange(Consumer<Configuration> listener) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void onConfirmed(Runnable listener) {
        vertx.setPeriodic(confirmationIntervalMillis, ignored -> listener.run());
    }
}
