package org.redwinghook.operator;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vavr.control.Either;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.runtime.settings.Address;

/** A command that uses the platform's log service, and possibly its VM list. */
public abstract class PlatformCommand extends Command {

    @Option(name = "--log", handler = AddressOptionHandler.class, usage = "log service")
    private @Nullable Address logOption;

    @Option(name = "--vm-list", handler = AddressOptionHandler.class, usage = "VM list")
    private @Nullable Address vmListOption;

    @Option(name = "--settings", metaVar = "FILE", usage = "YAML file with the addresses log and vmList")
    private @Nullable Path settingsFile;

    @Override
    public final CommandResult run(OperatorSession session) {
        return resolveAddresses().fold(problem -> problem, resolved -> {
            Address address = resolved.log();
            return address == null
                    ? CommandResult.problem(
                            ExitCode.USAGE, "redwinghook: the log's address is needed: --log or --settings")
                    : run(session, address, resolved.vmList());
        });
    }

    /**
     * Runs the command.
     *
     * @param session session that runs the clients
     * @param logAddress address of the log service
     * @param vmListAddress address of the VM list, null if not set
     * @return the result
     */
    protected abstract CommandResult run(OperatorSession session, Address logAddress, @Nullable Address vmListAddress);

    /** Addresses on the command line take precedence over those in the settings file. */
    private Either<CommandResult, OperatorSettings> resolveAddresses() {
        Path file = settingsFile;
        if (file == null) {
            return Either.right(new OperatorSettings(logOption, vmListOption));
        }
        return readFile(file)
                .flatMap(text -> OperatorSettings.read(file.toString(), text).mapLeft(CommandResult::findings))
                .map(fileSettings -> new OperatorSettings(
                        logOption == null ? fileSettings.log() : logOption,
                        vmListOption == null ? fileSettings.vmList() : vmListOption));
    }

    /**
     * Reads a file.
     *
     * @param file the file
     * @return text of the file, or the result of the command if the file cannot be read
     */
    static Either<CommandResult, String> readFile(Path file) {
        try {
            return Either.right(Files.readString(file));
        } catch (IOException exception) {
            return Either.left(CommandResult.problem(
                    ExitCode.FINDINGS,
                    "redwinghook: cannot read " + file + ": "
                            + exception.getClass().getSimpleName()));
        }
    }
}
