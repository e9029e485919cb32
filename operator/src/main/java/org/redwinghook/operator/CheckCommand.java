package org.redwinghook.operator;

import java.nio.file.Path;
import java.util.List;

import org.kohsuke.args4j.Argument;
import org.redwinghook.core.config.ConfigurationReader;

/** Validates a whole configuration document without publishing it. */
public final class CheckCommand extends Command {

    @Argument(metaVar = "FILE", required = true, usage = "YAML document with all sections")
    private Path documentFile = Path.of("");

    @Override
    public String synopsis() {
        return "check FILE [--json]";
    }

    @Override
    public CommandResult run(OperatorSession session) {
        return PlatformCommand.readFile(documentFile)
                .flatMap(text -> ConfigurationReader.readDocument(documentFile.toString(), text)
                        .mapLeft(CommandResult::findings))
                .fold(
                        problem -> problem,
                        document -> CommandResult.done(List.of(), List.of(documentFile + ": no findings")));
    }
}
