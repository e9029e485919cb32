package org.redwinghook.operator;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;

/** The command line. Options that follow the sub-command are options of the sub-command. */
public final class OperatorOptions {

    @Argument(
            required = true,
            metaVar = "COMMAND",
            usage = "check, show, publish, edit, out, in, state, use or reconcile; COMMAND --help lists its options",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "check", impl = CheckCommand.class),
        @SubCommand(name = "show", impl = ShowCommand.class),
        @SubCommand(name = "publish", impl = PublishCommand.class),
        @SubCommand(name = "edit", impl = EditCommand.class),
        @SubCommand(name = "out", impl = OutCommand.class),
        @SubCommand(name = "in", impl = InCommand.class),
        @SubCommand(name = "state", impl = StateCommand.class),
        @SubCommand(name = "use", impl = UseCommand.class),
        @SubCommand(name = "reconcile", impl = ReconcileCommand.class)
    })
    private @Nullable Command command;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean isHelpRequested;

    /**
     * The sub-command.
     *
     * @return the sub-command, null only with {@code --help}
     */
    public @Nullable Command command() {
        return command;
    }

    /**
     * Whether to print help.
     *
     * @return true to print help and exit
     */
    public boolean isHelpRequested() {
        return isHelpRequested;
    }
}
