package org.redwinghook.operator;

import java.util.List;

import io.vertx.core.json.Json;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Argument;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.runtime.settings.Address;

/** Prints the state dump of a process. */
public final class StateCommand extends Command {

    @Argument(
            metaVar = "HOST:PORT",
            required = true,
            handler = AddressOptionHandler.class,
            usage = "admin port of the process")
    private @Nullable Address adminAddress;

    @Override
    public String synopsis() {
        return "state HOST:PORT [--json]";
    }

    @Override
    public CommandResult run(OperatorSession session) {
        Address address = adminAddress;
        if (address == null) {
            return CommandResult.problem(ExitCode.USAGE, "redwinghook: the process's admin address is needed");
        }
        AdminClient client = new AdminClient(session.vertx());
        return session.await(() -> client.get(address, "/state"))
                .fold(
                        problem -> CommandResult.problem(
                                ExitCode.FAILED, "redwinghook: no state from " + address + ": " + problem),
                        body -> CommandResult.done(
                                Json.decodeValue(body, java.util.Map.class), List.of(body.toString())));
    }
}
