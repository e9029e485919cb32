package org.redwinghook.runtime.config;

import java.util.concurrent.ThreadLocalRandom;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.settings.ProcessSettings;

/** Makes the followers of real processes. */
public final class ConfigurationFollowers {

    private ConfigurationFollowers() {}

    /**
     * Makes a follower of the platform's log.
     *
     * @param vertx runs it
     * @param role role of the process
     * @param settings settings of the process
     * @param metrics where counters are registered
     * @return a follower that has not started
     */
    public static LogConfigurationFollower create(
            Vertx vertx, ProcessRole role, ProcessSettings settings, MeterRegistry metrics) {
        return new LogConfigurationFollower(
                role,
                new PlatformConfigurationLog(new LogClient(vertx, settings.log())),
                settings.logRetentionMillis(),
                new VertxScheduler(vertx),
                () -> ThreadLocalRandom.current().nextLong(),
                metrics);
    }
}
