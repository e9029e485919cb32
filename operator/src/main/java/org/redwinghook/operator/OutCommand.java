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
            usage = "admin port of a process in an isolated region, to post a withdrawal to it without the log")
    private @Nullable Address directAddress;

    @Override
    public String synopsis() {
        return "out data-centre|vm NAME --team TEAM --log HOST:PORT [--direct HOST:PORT]"
                + " [--vm-list HOST:PORT] [--wait SECONDS] [--json]";
    }

    @Override
    protected Availability targetAvailability() {
        return Availability.OUT;
    }

    @Override
    protected ChangeReport afterChange(OperatorSession session, SectionResult result, ChangeReport report) {
        Address adminAddress = directAddress;
        if (adminAddress == null) {
            return report;
        }
        // The change that came first may have brought the place back on purpose; a withdrawal would override it.
        if (result.outcome() == SectionResult.Outcome.CONFLICT) {
            return report.withNote("no withdrawal was posted to " + adminAddress + " because of the conflict");
        }
        AdminClient client = new AdminClient(session.vertx());
        Either<String, Buffer> response = session.await(() -> postWithdrawal(client, adminAddress, result));
        return response.isRight()
                ? report.withNote("withdrawal taken by " + adminAddress)
                : report.withUnconfirmed(List.of(new UnconfirmedProcess(
                        "the process of --direct",
                        "",
                        adminAddress.toString(),
                        "withdrawal failed: " + response.getLeft())));
    }

    // A withdrawal ends when the section gets a newer version than the one on which the withdrawal is based. If no
    // version is known from the log, it is based on the version in force in the process.
    private Future<Buffer> postWithdrawal(AdminClient client, Address adminAddress, SectionResult result) {
        if (result.version() > 0) {
            return client.postWithdrawal(adminAddress, new Withdrawal(kind(), name(), result.version()));
        }
        return client.getConfiguration(adminAddress)
                .map(summary -> summary.getJsonObject("sections", new JsonObject())
                        .getJsonObject(result.section(), new JsonObject())
                        .getLong("version", 0L))
                .compose(version -> client.postWithdrawal(adminAddress, new Withdrawal(kind(), name(), version)));
    }
}
