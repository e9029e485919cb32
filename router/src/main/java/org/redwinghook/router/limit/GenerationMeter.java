package org.redwinghook.router.limit;

import org.redwinghook.core.quota.OutputEstimates;
import org.redwinghook.core.usage.UsageCounts;
import org.redwinghook.core.usage.UsageKey;
import org.redwinghook.core.usage.UsageLedger;

/** Quota and usage of one generation. */
final class GenerationMeter {

    private static final long TOP_UP_TOKENS = 256;

    private final QuotaClient quota;
    private final UsageLedger ledger;
    private final OutputEstimates estimates;
    private final UsageKey key;
    private final long inputTokens;
    private final boolean isResumed;
    private long reservedTokens;
    private long delivered;

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

    /** Counts delivered tokens and takes more quota in steps while the generation runs. */
    void delivered(int tokens) {
        delivered += tokens;
        while (inputTokens + delivered > reservedTokens) {
            reservedTokens += TOP_UP_TOKENS;
            quota.recordUse(key.customer(), TOP_UP_TOKENS);
        }
    }

    void recordFinished() {
        if (!isResumed) {
            estimates.recordOutput(key.customer(), key.service(), delivered);
        }
        recordUsage(UsageCounts.generation(inputTokens, delivered));
    }

    void recordInterrupted() {
        recordUsage(UsageCounts.interruption(inputTokens, delivered));
    }

    void refundReservation() {
        quota.refund(key.customer(), reservedTokens);
        reservedTokens = 0;
    }

    private void recordUsage(UsageCounts counts) {
        // The first delivery of a resumed generation has counted the generation itself.
        ledger.add(key, isResumed ? new UsageCounts(0, 0, 0, 0, counts.outputTokens()) : counts);
        quota.refund(key.customer(), Math.max(0, reservedTokens - inputTokens - delivered));
        reservedTokens = 0;
    }
}
