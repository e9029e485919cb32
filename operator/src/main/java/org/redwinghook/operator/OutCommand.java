package org.redwinghook.operator;

import java.util.List;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.JsonObject;
import org.jspecify.annotations.Nullable;
import org.kohsuke.args4j.Option;
import org.redwinghook.core.config.Availability;
import org.redwinghook.core.config.Withdrawal;
import org.redwinghook.runtime.settings.Address;

/** Takes a data centre or a VM out of service. */
public final class OutCommand extends AvailabilityCommand {

    @Option(
            name = "--direct",
            handler = AddressOptionHandler.class,
            usage = "admin port of a process in an isolated region, which is told at once and without the log")
    private @Nullable Address direct;

    @Override
    public String synopsis() {
        return "out data-centre|vm NAME --team TEAM --log HOST:PORT [--direct HOST:PORT]"
                + " [--vm-list HOST:PORT] [--wait SECONDS] [--json]";
    }

    @Override
    protected Availability wanted() {
        return Availability.OUT;
    }

    @Override
    protected ChangeReport after(OperatorSession session, SectionResult result, ChangeReport report) {
        Address process = direct;
        if (process == null) {
            return report;
        }
        // The winner of a race may have brought the place back on purpose; a withdrawal would override it.
        if (result.outcome() == SectionResult.Outcome.CONFLICT) {
            return report.withNote("no withdrawal was posted to " + process + " because of the conflict");
        }
        AdminClient client = new AdminClient(session.vertx());
        Either<String, Buffer> answer = session.await(() -> withdraw(client, process, result));
        return answer.isRight()
                ? report.withNote("withdrawal taken by " + process)
                : report.withUnconfirmed(List.of(new Unconfirmed(
                        "the process of --direct", "", process.toString(), "withdrawal failed: " + answer.getLeft())));
    }

    // A withdrawal ends with a newer version of the section than it is based on. Without an accepted version it is
    // based on the one that the process has.
    private Future<Buffer> withdraw(AdminClient client, Address process, SectionResult result) {
        if (result.version() > 0) {
            return client.withdraw(process, new Withdrawal(kind(), name(), result.version()));
        }
        return client.configuration(process)
                .map(summary -> summary.getJsonObject("sections", new JsonObject())
                        .getJsonObject(result.section(), new JsonObject())
                        .getLong("version", 0L))
                .compose(version -> client.withdraw(process, new Withdrawal(kind(), name(), version)));
    }
}
