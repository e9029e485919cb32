package org.redwinghook.runtime.process;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.redwinghook.core.document.Finding;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a process from the command line: reads the settings, starts the process and stops it gracefully on SIGTERM.
 *
 * @param <S> type of the settings
 */
public final class ProcessLauncher<S> {

    /** Interval of checks whether the settings file has changed without a signal, in milliseconds. */
    private static final long FILE_CHECK_INTERVAL_MILLIS = 1_000;

    private static final Logger LOGGER = LoggerFactory.getLogger(ProcessLauncher.class);

    private final String binary;
    private final BiFunction<String, String, Either<List<Finding>, S>> settingsReader;
    private final BiFunction<Vertx, ReloadableSettings<S>, ManagedProcess> factory;

    /**
     * Creates a launcher.
     *
     * @param binary name of the binary, for messages
     * @param settingsReader reads the settings from the name and the text of a file
     * @param factory creates the process from its settings; called on the event loop of the process
     */
    public ProcessLauncher(
            String binary,
            BiFunction<String, String, Either<List<Finding>, S>> settingsReader,
            BiFunction<Vertx, ReloadableSettings<S>, ManagedProcess> factory) {
        this.binary = binary;
        this.settingsReader = settingsReader;
        this.factory = factory;
    }

    /**
     * Runs the process until it is stopped. Returns at once if the process cannot start or if the command line only
     * asks for help or for a check of the settings.
     *
     * @param arguments the command line
     * @return the exit code
     */
    public ExitCode run(String... arguments) {
        ProcessOptions options = new ProcessOptions();
        CmdLineParser parser = new CmdLineParser(options);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException exception) {
            System.err.println(binary + ": " + exception.getMessage());
            parser.printUsage(System.err);
            return ExitCode.USAGE;
        }
        if (options.isHelpRequested()) {
            System.out.println("usage: " + binary + " --settings FILE [--check]");
            parser.printUsage(System.out);
            return ExitCode.DONE;
        }
        return runWithOptions(options);
    }

    private ExitCode runWithOptions(ProcessOptions options) {
        Path file = options.settings();
        if (file == null) {
            return ExitCode.USAGE;
        }
        String text = readFile(file);
        if (text == null) {
            return ExitCode.FINDINGS;
        }
        Either<List<Finding>, S> settings = settingsReader.apply(file.toString(), text);
        if (settings.isLeft()) {
            settings.getLeft().forEach(finding -> System.err.println(finding));
            return ExitCode.FINDINGS;
        }
        if (options.check()) {
            System.out.println(file + ": no findings");
            return ExitCode.DONE;
        }
        return launch(settings.get(), file);
    }

    /** Reads the settings file again; a file with findings changes nothing. */
    private void reload(Path file, ReloadableSettings<S> current) {
        String text = readFile(file);
        if (text == null) {
            return;
        }
        Either<List<Finding>, S> settings = settingsReader.apply(file.toString(), text);
        if (settings.isLeft()) {
            LOGGER.warn("{} reload rejected findings={}", binary, settings.getLeft());
            return;
        }
        LOGGER.info("{} reload changed={}", binary, !settings.get().equals(current.current()));
        current.replace(settings.get());
    }

    private @Nullable String readFile(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            System.err.println(binary + ": cannot read " + file + ": " + exception.getMessage());
            return null;
        }
    }

    private ExitCode launch(S initialSettings, Path file) {
        ReloadableSettings<S> settings = new ReloadableSettings<>(initialSettings);
        SettingsFileWatch watch = new SettingsFileWatch(file);
        // SIGHUP ends a process that has no handler yet, so it is registered before the event loop is created.
        HangupSignal.registerHandler(() -> {
            // The change that the signal announces needs no second read.
            watch.hasChanged();
            reload(file, settings);
        });
        Vertx vertx = LimitedReadTransport.createVertx();
        ProcessVerticle verticle = new ProcessVerticle(processVertx -> factory.apply(processVertx, settings));
        Promise<Void> started = Promise.promise();
        CountDownLatch stopped = new CountDownLatch(1);
        // Peers and callers connect as soon as a port is open, so the hook is registered before the start.
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(() -> stopWhenStarted(started.future(), vertx, verticle, stopped), "graceful-stop"));
        vertx.deployVerticle(verticle).<Void>mapEmpty().onComplete(started);
        try {
            started.future().await();
        } catch (Exception exception) {
            // Vert.x rethrows checked exceptions, such as a failure to bind, without declaring them.
            LOGGER.error("{} start failed cause={}", binary, exception.getMessage());
            vertx.close().await();
            return ExitCode.FAILED;
        }
        LOGGER.info("{} started", binary);
        reloadUntilStopped(stopped, watch, () -> reload(file, settings));
        return ExitCode.DONE;
    }

    private void stopWhenStarted(Future<Void> started, Vertx vertx, ProcessVerticle verticle, CountDownLatch stopped) {
        long signalledAtNanos = System.nanoTime();
        try {
            started.await();
        } catch (Exception exception) {
            // The launch reports the failure; nothing runs that could be drained.
            return;
        }
        stop(vertx, verticle, stopped, signalledAtNanos);
    }

    private void stop(Vertx vertx, ProcessVerticle verticle, CountDownLatch stopped, long signalledAtNanos) {
        LOGGER.info("{} draining", binary);
        Future<Void> drained = verticle.stopGracefully(signalledAtNanos);
        try {
            drained.await();
        } catch (Exception exception) {
            LOGGER.error("{} drain failed cause={}", binary, exception.getMessage());
        }
        LOGGER.info("{} stopped", binary);
        vertx.close();
        stopped.countDown();
    }

    private static void reloadUntilStopped(CountDownLatch stopped, SettingsFileWatch watch, Runnable reload) {
        try {
            while (!stopped.await(FILE_CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
                if (watch.hasChanged()) {
                    reload.run();
                }
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }
}
