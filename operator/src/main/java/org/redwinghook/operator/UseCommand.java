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

/** Prints the usage of each owner and customer, as it is billed. */
public final class UseCommand extends UsageRecordCommand {

    @Option(name = "--side", usage = "counts to print: ROUTER for what was delivered, ENDPOINT for what was generated")
    private UsageSide side = UsageSide.ROUTER;

    @Override
    public String synopsis() {
        return "use --log HOST:PORT [--side ROUTER|ENDPOINT] [--json]";
    }

    @Override
    protected CommandResult createResult(UsageFold usage, long firstOffset) {
        List<CustomerUsage> customerUsages = sumByCustomer(usage);
        Map<String, UsageCounts> owners = usage.billByOwner(side);
        List<String> lines = new ArrayList<>();
        lines.add("counts of side " + side + ", records from offset " + firstOffset);
        owners.forEach((owner, counts) -> {
            lines.add(owner + ": " + describe(counts));
            customerUsages.stream()
                    .filter(customerUsage -> customerUsage.owner().equals(owner))
                    .forEach(customerUsage ->
                            lines.add("  " + customerUsage.customer() + ": " + describe(customerUsage.counts())));
        });
        return CommandResult.done(new Bill(side, firstOffset, owners, customerUsages), lines);
    }

    private List<CustomerUsage> sumByCustomer(UsageFold usage) {
        Map<String, Map<String, UsageCounts>> countsByOwner = new TreeMap<>();
        usage.totals().forEach((key, counts) -> {
            if (key.side() == side) {
                countsByOwner
                        .computeIfAbsent(key.owner(), ignored -> new TreeMap<>())
                        .merge(key.customer(), counts, UsageCounts::plus);
            }
        });
        List<CustomerUsage> customerUsages = new ArrayList<>();
        countsByOwner.forEach((owner, counts) ->
                counts.forEach((customer, count) -> customerUsages.add(new CustomerUsage(owner, customer, count))));
        customerUsages.sort(Comparator.comparing(CustomerUsage::owner).thenComparing(CustomerUsage::customer));
        return customerUsages;
    }

    static String describe(UsageCounts counts) {
        return counts.generations() + " generations (" + counts.interrupted() + " interrupted), " + counts.calls()
                + " calls, " + counts.inputTokens() + " input and " + counts.outputTokens() + " output tokens";
    }

    private record Bill(
            UsageSide side, long firstOffset, Map<String, UsageCounts> owners, List<CustomerUsage> customers) {}

    private record CustomerUsage(String owner, String customer, UsageCounts counts) {}
}
