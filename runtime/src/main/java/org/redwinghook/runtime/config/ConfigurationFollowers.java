package org.redwinghook.runtime.config;

import java.util.concurrent.ThreadLocalRandom;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.settings.ProcessSettings;

/** Creates configuration followers that read the platform's log service. */
public final class ConfigurationFollowers {

    private ConfigurationFollowers() {}

    /**
     * Creates a follower.
     *
     * @param vertx Vert.x instance that runs the follower
     * @param role role of the process
     * @param settings settings of the process
     * @param metrics registry for the counters
     * @return the follower, not started yet
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
