package org.redwinghook.operator;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.kohsuke.args4j.Option;
import org.redwinghook.core.usage.UsageCounts;
import org.redwinghook.core.usage.UsageFold;
import org.redwinghook.core.usage.UsageSide;

/** Prints the bill by owner and customer. */
public final class UseCommand extends UsageCommand {

    @Option(name = "--side", usage = "whose counts: ROUTER for what was delivered, ENDPOINT for what was generated")
    private UsageSide side = UsageSide.ROUTER;

    @Override
    public String synopsis() {
        return "use --log HOST:PORT [--side ROUTER|ENDPOINT] [--json]";
    }

    @Override
    protected CommandResult report(UsageFold folded, long firstOffset) {
        List<CustomerUse> customers = customers(folded);
        Map<String, UsageCounts> owners = folded.billByOwner(side);
        List<String> lines = new ArrayList<>();
        lines.add("counts of side " + side + ", records from offset " + firstOffset);
        owners.forEach((owner, counts) -> {
            lines.add(owner + ": " + text(counts));
            customers.stream()
                    .filter(use -> use.owner().equals(owner))
                    .forEach(use -> lines.add("  " + use.customer() + ": " + text(use.counts())));
        });
        return CommandResult.done(new Bill(side, firstOffset, owners, customers), lines);
    }

    private List<CustomerUse> customers(UsageFold folded) {
        Map<String, Map<String, UsageCounts>> sums = new TreeMap<>();
        folded.totals().forEach((key, counts) -> {
            if (key.side() == side) {
                sums.computeIfAbsent(key.owner(), ignored -> new TreeMap<>())
                        .merge(key.customer(), counts, UsageCounts::plus);
            }
        });
        List<CustomerUse> uses = new ArrayList<>();
        sums.forEach((owner, counts) ->
                counts.forEach((customer, count) -> uses.add(new CustomerUse(owner, customer, count))));
        uses.sort(Comparator.comparing(CustomerUse::owner).thenComparing(CustomerUse::customer));
        return uses;
    }

    static String text(UsageCounts counts) {
        return counts.generations() + " generations (" + counts.interrupted() + " interrupted), " + counts.calls()
                + " calls, " + counts.inputTokens() + " input and " + counts.outputTokens() + " output tokens";
    }

    private record Bill(
            UsageSide side, long firstOffset, Map<String, UsageCounts> owners, List<CustomerUse> customers) {}

    private record CustomerUse(String owner, String customer, UsageCounts counts) {}
}
