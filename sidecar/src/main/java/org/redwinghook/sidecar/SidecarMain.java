package org.redwinghook.sidecar;

import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import io.vertx.core.Vertx;
import org.redwinghook.core.message.ProcessRole;
import org.redwinghook.runtime.config.ConfigurationFollowers;
import org.redwinghook.runtime.process.ManagedProcess;
import org.redwinghook.runtime.process.ProcessLauncher;

/** Entry point of the binary redwinghook-sidecar. */
public final class SidecarMain {

    private SidecarMain() {}

    /**
     * Runs a sidecar.
     *
     * @param arguments the command line
     */
    public static void main(String[] arguments) {
        ProcessLauncher<SidecarSettings> launcher = new ProcessLauncher<>(
                "redwinghook-sidecar",
                SidecarSettings::read,
                (vertx, settings) -> createProcess(vertx, settings.current()));
        System.exit(launcher.run(arguments).number());
    }

    private static ManagedProcess createProcess(Vertx vertx, SidecarSettings settings) {
        PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
        return new SidecarProcess(
                vertx,
                settings,
                ConfigurationFollowers.create(vertx, ProcessRole.SIDECAR, settings.shared(), metrics),
                metrics);
    }
}
