package org.redwinghook.router.limit;

import org.redwinghook.core.quota.OutputEstimates;
import org.redwinghook.core.usage.UsageCounts;
import org.redwinghook.core.usage.UsageKey;
import org.redwinghook.core.usage.UsageLedger;

/** Accounts for the quota and usage of one generation. */
final class GenerationMeter {

    /** Tokens that are charged at once when the output exceeds the reservation. */
    private static final long TOP_UP_TOKENS = 256;

    private final QuotaClient quota;
    private final UsageLedger ledger;
    private final OutputEstimates estimates;
    private final UsageKey key;
    private final long inputTokens;
    private final boolean isResumed;
    private long reservedTokens;
    private long deliveredTokens;

    GenerationMeter(
            QuotaClient quota,
            UsageLedger ledger,
            OutputEstimates estimates,
            UsageKey key,
            long inputTokens,
            long reservedTokens,
            boolean isResumed) {
        this.quota = quota;
        this.ledger = ledger;
        this.estimates = estimates;
        this.key = key;
        this.inputTokens = inputTokens;
        this.reservedTokens = reservedTokens;
        this.isResumed = isResumed;
    }

    /** Counts delivered tokens and charges the quota in steps beyond the reservation while the generation runs. */
    void recordDelivered(int tokens) {
        deliveredTokens += tokens;
        while (inputTokens + deliveredTokens > reservedTokens) {
            reservedTokens += TOP_UP_TOKENS;
            quota.charge(key.customer(), TOP_UP_TOKENS);
        }
    }

    void recordFinished() {
        if (!isResumed) {
            estimates.recordOutput(key.customer(), key.service(), deliveredTokens);
        }
        recordUsage(UsageCounts.generation(inputTokens, deliveredTokens));
    }

    void recordInterrupted() {
        recordUsage(UsageCounts.interruption(inputTokens, deliveredTokens));
    }

    void refundReservation() {
        quota.refund(key.customer(), reservedTokens);
        reservedTokens = 0;
    }

    private void recordUsage(UsageCounts counts) {
        // A resumed generation was already counted by its first delivery.
        ledger.add(key, isResumed ? new UsageCounts(0, 0, 0, 0, counts.outputTokens()) : counts);
        quota.refund(key.customer(), Math.max(0, reservedTokens - inputTokens - deliveredTokens));
        reservedTokens = 0;
    }
}
