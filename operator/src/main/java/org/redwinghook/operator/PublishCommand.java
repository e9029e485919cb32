package org.redwinghook.operator;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.util.Comparator;
import java.util.List;

import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.redwinghook.core.config.ConfigurationDocument;
import org.redwinghook.core.config.ConfigurationReader;
import org.redwinghook.core.config.Section;
import org.redwinghook.core.document.Finding;
import org.redwinghook.runtime.config.ConfigurationPublisher;
import org.redwinghook.runtime.config.PlatformConfigurationLog;
import org.redwinghook.runtime.config.PublishResult;
import org.redwinghook.runtime.config.VertxScheduler;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.runtime.settings.Address;

/** Publishes the sections of a document that differ from the log. */
public final class PublishCommand {

    private final Vertx vertx;
    private final PrintStream output;
    private final PrintStream errors;

    /**
     * Creates the command.
     *
     * @param vertx runs the log client
     * @param output receives one line for each section
     * @param errors receives findings and problems
     */
    public PublishCommand(Vertx vertx, PrintStream output, PrintStream errors) {
        this.vertx = vertx;
        this.output = output;
        this.errors = errors;
    }

    /**
     * Runs the command.
     *
     * @param options the command line
     * @return how it ended; stops at the first section that is not accepted
     */
    public ExitCode run(PublishOptions options) {
        Address log = options.log();
        if (log == null || options.team().isBlank()) {
            errors.println("redwinghook: --log and --team are needed");
            return ExitCode.USAGE;
        }
        String text;
        try {
            text = Files.readString(options.file());
        } catch (IOException exception) {
            errors.println("redwinghook: cannot read " + options.file() + ": " + exception.getMessage());
            return ExitCode.FINDINGS;
        }
        Either<List<Finding>, ConfigurationDocument> document =
                ConfigurationReader.readDocument(options.file().toString(), text);
        if (document.isLeft()) {
            document.getLeft().forEach(errors::println);
            return ExitCode.FINDINGS;
        }
        return publish(log, document.get(), options.team());
    }

    private ExitCode publish(Address log, ConfigurationDocument document, String team) {
        ConfigurationPublisher publisher = new ConfigurationPublisher(
                new PlatformConfigurationLog(new LogClient(vertx, log)), new VertxScheduler(vertx));
        Context context = vertx.getOrCreateContext();
        String author = System.getProperty("user.name", "unknown");
        List<Section> sections = document.sections().values().stream()
                .sorted(Comparator.comparing(Section::name))
                .toList();
        for (Section section : sections) {
            // The publisher and its client belong to one event loop.
            Promise<PublishResult> result = Promise.promise();
            context.runOnContext(
                    ignored -> publisher.publish(section, team, author).onComplete(result));
            ExitCode code = report(section.name(), result.future().await());
            if (code != ExitCode.DONE) {
                return code;
            }
        }
        return ExitCode.DONE;
    }

    private ExitCode report(String section, PublishResult result) {
        if (result instanceof PublishResult.Accepted accepted) {
            output.println(section + ": accepted as version " + accepted.version());
            return ExitCode.DONE;
        }
        if (result instanceof PublishResult.Unchanged) {
            output.println(section + ": unchanged");
            return ExitCode.DONE;
        }
        if (result instanceof PublishResult.Conflict conflict) {
            errors.println(section + ": conflict with version " + conflict.version() + " of team " + conflict.team());
            return ExitCode.CONFLICT;
        }
        if (result instanceof PublishResult.Invalid invalid) {
            invalid.findings().forEach(errors::println);
            return ExitCode.FINDINGS;
        }
        errors.println(section + ": unknown whether it was accepted; " + result);
        return ExitCode.FAILED;
    }
}
