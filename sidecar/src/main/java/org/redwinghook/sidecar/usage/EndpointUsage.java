package org.redwinghook.sidecar.usage;

import org.redwinghook.core.message.TokenUsage;
import org.redwinghook.core.usage.UsageCounts;
import org.redwinghook.core.usage.UsageKey;
import org.redwinghook.core.usage.UsageLedger;
import org.redwinghook.core.usage.UsageSide;

/** Counts the generations and calls of this sidecar's endpoint by customer. */
public final class EndpointUsage {

    private final UsageLedger ledger;
    private final String service;

    /**
     * Creates the counters.
     *
     * @param ledger stores the counts
     * @param service service of the endpoint
     */
    public EndpointUsage(UsageLedger ledger, String service) {
        this.ledger = ledger;
        this.service = service;
    }

    /**
     * Counts an ended generation.
     *
     * @param owner owner of the customer
     * @param customer the customer
     * @param usage tokens of the generation
     * @param isComplete whether the engine finished the generation
     */
    public void recordGeneration(String owner, String customer, TokenUsage usage, boolean isComplete) {
        UsageCounts counts = isComplete
                ? UsageCounts.generation(usage.inputTokens(), usage.outputTokens())
                : UsageCounts.interruption(usage.inputTokens(), usage.outputTokens());
        ledger.add(new UsageKey(owner, customer, service, UsageSide.ENDPOINT), counts);
    }

    /**
     * Counts a call that ran or may have run.
     *
     * @param owner owner of the customer
     * @param customer the customer
     */
    public void recordCall(String owner, String customer) {
        ledger.add(new UsageKey(owner, customer, service, UsageSide.ENDPOINT), UsageCounts.call());
    }
}
