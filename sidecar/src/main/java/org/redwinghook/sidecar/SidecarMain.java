package org.redwinghook.sidecar;

import org.redwinghook.core.config.Configuration;
import org.redwinghook.runtime.config.FixedConfigurationSource;
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
                (vertx, settings) ->
                        new SidecarProcess(vertx, settings, new FixedConfigurationSource(Configuration.EMPTY)));
        System.exit(launcher.run(arguments).number());
    }
}
