package org.redwinghook.standins;

import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.kohsuke.args4j.spi.SubCommand;
import org.kohsuke.args4j.spi.SubCommandHandler;
import org.kohsuke.args4j.spi.SubCommands;
import org.redwinghook.standins.engine.EngineOptions;
import org.redwinghook.standins.log.LogOptions;
import org.redwinghook.standins.plain.PlainServiceOptions;
import org.redwinghook.standins.vmlist.VmListOptions;
import org.redwinghook.standins.weights.WeightStoreOptions;

/** Command line of the stand-ins; the options that follow the kind are those of that kind. */
public final class StandInOptions {

    @Option(
            name = "--kind",
            required = true,
            metaVar = "KIND OPTION...",
            usage = "log, vm-list, weight-store, engine or plain; --kind KIND --help lists the options of a kind",
            handler = SubCommandHandler.class)
    @SubCommands({
        @SubCommand(name = "log", impl = LogOptions.class),
        @SubCommand(name = "vm-list", impl = VmListOptions.class),
        @SubCommand(name = "weight-store", impl = WeightStoreOptions.class),
        @SubCommand(name = "engine", impl = EngineOptions.class),
        @SubCommand(name = "plain", impl = PlainServiceOptions.class)
    })
    private @Nullable KindOptions kind;

    @Option(name = "--help", help = true, usage = "print this help and exit")
    private boolean isHelpRequested;

    /**
     * Returns the options of the selected kind.
     *
     * @return the options; null only with --help
     */
    public @Nullable KindOptions kind() {
        return kind;
    }

    /**
     * Returns whether the command line asks for help before a kind.
     *
     * @return true to print help and exit
     */
    public boolean isHelpRequested() {
        return isHelpRequested;
    }
}
