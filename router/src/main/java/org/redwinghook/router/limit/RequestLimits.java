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

/** Admits requests within their customer's limit and counts the delivered usage. */
public final class RequestLimits {

    private final QuotaClient quota;
    private final UsageLedger ledger;
    private final RouterMetrics metrics;
    private final OutputEstimates estimates = new OutputEstimates();

    /**
     * Creates the limits.
     *
     * @param quota acquires quota
     * @param ledger counts usage
     * @param metrics counts refusals
     */
    public RequestLimits(QuotaClient quota, UsageLedger ledger, RouterMetrics metrics) {
        this.quota = quota;
        this.ledger = ledger;
        this.metrics = metrics;
    }

    /**
     * Decides whether a generation is admitted.
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
     * Decides whether a call is admitted.
     *
     * @param customer the customer
     * @param submit the request with its call
     * @return the decision
     */
    public Future<Admission> admitCall(Customer customer, Submit submit) {
        return quota.acquire(customer, 0).map(refusal -> createAdmission(customer, submit.service(), 0, 0, refusal));
    }

    /**
     * Wraps a sink to count the usage of a resumed delivery. The request was admitted and its prompt counted when it
     * started.
     *
     * @param customer the customer
     * @param service name of the service
     * @param sink receives the result for the caller
     * @return a sink that counts and forwards to the given one
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

    /** Decision on the admission of one request. */
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
         * Returns the refusal of a request that is not admitted.
         *
         * @return the refusal, empty if it is admitted
         */
        public Optional<Refusal> refusal() {
            return refusal;
        }

        /** Refunds the reservation of a request that was admitted and never started. */
        public void releaseReservation() {
            if (refusal.isEmpty()) {
                meter.refundReservation();
            }
        }

        /**
         * Wraps a sink to count the quota and usage of a generation.
         *
         * @param sink receives the result for the caller
         * @return a sink that counts and forwards to the given one
         */
        public GenerationSink metered(GenerationSink sink) {
            return new MeteredGenerationSink(sink, meter);
        }

        /**
         * Wraps a sink to count the usage of a call when it has ended.
         *
         * @param sink receives the result for the caller
         * @return a sink that counts and forwards to the given one
         */
        public CallSink metered(CallSink sink) {
            return new MeteredCallSink(sink, () -> ledger.add(key, UsageCounts.call()));
        }
    }
}
