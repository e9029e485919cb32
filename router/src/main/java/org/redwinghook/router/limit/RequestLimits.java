package org.redwinghook.router.limit;

import java.util.Optional;

import io.vertx.core.Future;
import org.redwinghook.core.config.Customer;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.quota.OutputEstimates;
import org.redwinghook.core.usage.UsageCounts;
import org.redwinghook.core.usage.UsageKey;
import org.redwinghook.core.usage.UsageLedger;
import org.redwinghook.core.usage.UsageSide;
import org.redwinghook.router.call.CallSink;
import org.redwinghook.router.generation.GenerationSink;
import org.redwinghook.router.metrics.RouterMetrics;

/** Admits requests against their customer's limit and counts what was delivered. */
public final class RequestLimits {

    private final QuotaClient quota;
    private final UsageLedger ledger;
    private final RouterMetrics metrics;
    private final OutputEstimates estimates = new OutputEstimates();

    /**
     * Creates the limits.
     *
     * @param quota takes quota
     * @param ledger counts usage
     * @param metrics counts refusals
     */
    public RequestLimits(QuotaClient quota, UsageLedger ledger, RouterMetrics metrics) {
        this.quota = quota;
        this.ledger = ledger;
        this.metrics = metrics;
    }

    /**
     * Admits a generation.
     *
     * @param customer the customer
     * @param submit the request with its generation
     * @return the decision
     */
    public Future<Admission> admitGeneration(Customer customer, Submit submit) {
        var generation = submit.generation();
        long inputTokens = generation == null ? 0 : generation.promptTokens();
        long maximumOutputTokens = generation == null ? 0 : generation.maximumOutputTokens();
        long reservation =
                inputTokens + estimates.expectedTokens(customer.name(), submit.service(), maximumOutputTokens);
        return quota.acquire(customer, reservation)
                .map(refusal -> createAdmission(customer, submit.service(), inputTokens, reservation, refusal));
    }

    /**
     * Admits a call.
     *
     * @param customer the customer
     * @param submit the request with its call
     * @return the decision
     */
    public Future<Admission> admitCall(Customer customer, Submit submit) {
        return quota.acquire(customer, 0).map(refusal -> createAdmission(customer, submit.service(), 0, 0, refusal));
    }

    /**
     * Counts what a resumed delivery brings. The request was admitted and its prompt counted when it started.
     *
     * @param customer the customer
     * @param service the service
     * @param sink the caller
     * @return a sink to deliver to
     */
    public GenerationSink meteredResume(Customer customer, String service, GenerationSink sink) {
        UsageKey key = new UsageKey(customer.owner(), customer.name(), service, UsageSide.ROUTER);
        return new MeteredGenerationSink(sink, new GenerationMeter(quota, ledger, estimates, key, 0, 0, true));
    }

    private Admission createAdmission(
            Customer customer, String service, long inputTokens, long reservation, Optional<Refusal> refusal) {
        refusal.ifPresent(refused -> metrics.recordRefusal(refused.reason()));
        UsageKey key = new UsageKey(customer.owner(), customer.name(), service, UsageSide.ROUTER);
        return new Admission(
                refusal, new GenerationMeter(quota, ledger, estimates, key, inputTokens, reservation, false), key);
    }

    /** Decision on one request. */
    public final class Admission {

        private final Optional<Refusal> refusal;
        private final GenerationMeter meter;
        private final UsageKey key;

        Admission(Optional<Refusal> refusal, GenerationMeter meter, UsageKey key) {
            this.refusal = refusal;
            this.meter = meter;
            this.key = key;
        }

        /**
         * Why the request is not run.
         *
         * @return the refusal, empty if it is admitted
         */
        public Optional<Refusal> refusal() {
            return refusal;
        }

        /** Gives back the reservation of a request that was admitted and never started. */
        public void releaseReservation() {
            if (refusal.isEmpty()) {
                meter.refundReservation();
            }
        }

        /**
         * Counts what is delivered to a caller.
         *
         * @param sink the caller
         * @return a sink to deliver to
         */
        public GenerationSink metered(GenerationSink sink) {
            return new MeteredGenerationSink(sink, meter);
        }

        /**
         * Counts a call when it has ended.
         *
         * @param sink the caller
         * @return a sink to deliver to
         */
        public CallSink metered(CallSink sink) {
            return new MeteredCallSink(sink, () -> ledger.add(key, UsageCounts.call()));
        }
    }
}
