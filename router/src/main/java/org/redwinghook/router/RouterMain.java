package org.redwinghook.router;

import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.ConfigurationReader;
import org.redwinghook.runtime.config.FixedConfigurationSource;
import org.redwinghook.runtime.process.ProcessLauncher;

/** Entry point of the binary redwinghook-router. */
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
                (vertx, settings) ->
                        new RouterProcess(vertx, settings, new FixedConfigurationSource(bootstrapConfiguration())));
        System.exit(launcher.run(arguments).number());
    }

    private static Configuration bootstrapConfiguration() {
        String file = System.getProperty("redwinghook.configuration", "");
        try {
            return ConfigurationReader.read(file, java.nio.file.Files.readString(java.nio.file.Path.of(file)))
                    .getOrElse(Configuration.EMPTY);
        } catch (java.io.IOException exception) {
            throw new java.io.UncheckedIOException(exception);
        }
    }
}
