package org.redwinghook.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.redwinghook.core.usage.UsageDifference;
import org.redwinghook.core.usage.UsageFold;

/** Prints the differences between the usage counts of routers and endpoints. */
public final class ReconcileCommand extends UsageRecordCommand {

    @Override
    public String synopsis() {
        return "reconcile --log HOST:PORT [--json]";
    }

    @Override
    protected CommandResult createResult(UsageFold usage, long firstOffset) {
        List<UsageDifference> differences = new ArrayList<>(usage.reconcile());
        differences.sort(Comparator.comparing(UsageDifference::owner)
                .thenComparing(UsageDifference::customer)
                .thenComparing(UsageDifference::service));
        List<String> lines = new ArrayList<>();
        lines.add(differences.size() + " differences, records from offset " + firstOffset);
        for (UsageDifference difference : differences) {
            lines.add(difference.owner() + " " + difference.customer() + " at " + difference.service() + ": "
                    + difference.undeliveredTokens() + " tokens not delivered");
            lines.add("  routers:   " + UseCommand.describe(difference.router()));
            lines.add("  endpoints: " + UseCommand.describe(difference.endpoint()));
        }
        return CommandResult.done(new Reconciliation(firstOffset, differences), lines);
    }

    private record Reconciliation(long firstOffset, List<UsageDifference> differences) {}
}
