package org.redwinghook.router;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.config.ConfigurationFollowers;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.process.ProcessLauncher;

/** Entry point of the redwinghook-router binary. */
public final class RouterMain {

    private RouterMain() {}

    /**
     * Runs a router.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ProcessLauncher<RouterSettings> launcher = new ProcessLauncher<>(
                "redwinghook-router",
                RouterSettings::read,
                (vertx, settings) -> createProcess(vertx, settings.current()));
        System.exit(launcher.run(arguments).number());
    }

    private static ManagedProcess createProcess(Vertx vertx, RouterSettings settings) {
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        return new RouterProcess(
                vertx,
                settings,
                ConfigurationFollowers.create(vertx, ProcessRole.ROUTER, settings.shared(), metrics),
                metrics);
    }
}
