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
    private long reserved;
    private long delivered;

    GenerationMeter(
            QuotaClient quota,
            UsageLedger ledger,
            OutputEstimates estimates,
            UsageKey key,
            long inputTokens,
            long reserved,
            boolean isResumed) {
        this.quota = quota;
        this.ledger = ledger;
        this.estimates = estimates;
        this.key = key;
        this.inputTokens = inputTokens;
        this.reserved = reserved;
        this.isResumed = isResumed;
    }

    /** Counts delivered tokens and takes more quota in steps while the generation runs. */
    void delivered(int tokens) {
        delivered += tokens;
        while (inputTokens + delivered > reserved) {
            reserved += TOP_UP_TOKENS;
            quota.use(key.customer(), TOP_UP_TOKENS);
        }
    }

    void finished() {
        if (!isResumed) {
            estimates.record(key.customer(), key.service(), delivered);
        }
        end(UsageCounts.generation(inputTokens, delivered));
    }

    void interrupted() {
        end(UsageCounts.interruption(inputTokens, delivered));
    }

    void notRun() {
        quota.refund(key.customer(), reserved);
        reserved = 0;
    }

    private void end(UsageCounts counts) {
        // The first delivery of a resumed generation has counted the generation itself.
        ledger.add(key, isResumed ? new UsageCounts(0, 0, 0, 0, counts.outputTokens()) : counts);
        quota.refund(key.customer(), Math.max(0, reserved - inputTokens - delivered));
        reserved = 0;
    }
}
