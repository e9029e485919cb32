package org.redwinghook.experiments.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/**
 * Generates random traces from a seed: drafts, quick generations and lookups in bursts, with long-tailed output lengths
 * and a few large customers.
 */
final class TraceGenerator {

    static final int MAXIMUM_OUTPUT_TOKENS = 32_768;

    private static final int QUICK_MAXIMUM_OUTPUT_TOKENS = 64;
    private static final int LOOSE_QUICK_MAXIMUM_OUTPUT_TOKENS = 512;
    private static final int ROUTERS = 3;
    private static final int CUSTOMERS = 10;
    private static final int PREFIXES_PER_CUSTOMER = 3;
    private static final int PREFIX_TOKENS = 400;
    private static final double OTHER_OWNER_SHARE = 0.15;
    private static final double WARM_UP_RATE_FACTOR = 0.5;
    private static final double BURST_RATE_FACTOR = 1.6;
    private static final long BURST_INTERVAL_MICROS = 45 * Timeline.SECOND_MICROS;
    private static final long BURST_DURATION_MICROS = 12 * Timeline.SECOND_MICROS;
    private static final double MEDIAN_PROMPT_TOKENS = 600;
    private static final double MEDIAN_QUICK_TOKENS = 14;
    private static final double MEDIAN_LOOKUP_MICROS = 12_000;

    private final Deployment deployment;
    private final RandomGenerator random;
    private final LogNormalDistribution promptDistribution;
    private final LogNormalDistribution quickOutputDistribution;
    private final LogNormalDistribution lookupDistribution;

    TraceGenerator(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Well19937c(seed + deployment.ordinal());
        this.promptDistribution = new LogNormalDistribution(random, Math.log(MEDIAN_PROMPT_TOKENS), 0.7);
        this.quickOutputDistribution = new LogNormalDistribution(random, Math.log(MEDIAN_QUICK_TOKENS), 0.5);
        this.lookupDistribution = new LogNormalDistribution(random, Math.log(MEDIAN_LOOKUP_MICROS), 0.6);
    }

    /** Usual customers of a deployment: ten whose weight falls with their rank, and one of the other owner. */
    static List<TraceCustomer> usualCustomers(Deployment deployment) {
        List<TraceCustomer> customers = new ArrayList<>();
        for (int rank = 1; rank <= CUSTOMERS; rank++) {
            double lengthFactor = rank % 3 == 0 ? 2 : rank % 3 == 1 ? 1 : 0.6;
            customers.add(new TraceCustomer("customer-" + rank, deployment.owner(), 1.0 / rank, lengthFactor));
        }
        double ownerWeight =
                customers.stream().mapToDouble(TraceCustomer::weight).sum();
        double otherOwnerWeight = ownerWeight * OTHER_OWNER_SHARE / (1 - OTHER_OWNER_SHARE);
        customers.add(new TraceCustomer("guest-1", deployment.otherOwner(), otherOwnerWeight, 1));
        return customers;
    }

    /** Generates a trace of some kinds of requests. The rate factor scales the deployment's rates. */
    List<TraceRequest> generate(List<RequestKind> kinds, List<TraceCustomer> customers, double rateFactor) {
        List<TraceRequest> trace = new ArrayList<>();
        for (RequestKind kind : kinds) {
            generate(kind, customers, rateFactor, trace);
        }
        trace.sort(Comparator.comparingLong(TraceRequest::arrivalMicros).thenComparingLong(TraceRequest::identifier));
        return trace;
    }

    private void generate(
            RequestKind kind, List<TraceCustomer> customers, double rateFactor, List<TraceRequest> trace) {
        double baseRate = deployment.workload().requestsPerSecond(kind) * rateFactor;
        double maximumRate = baseRate * BURST_RATE_FACTOR;
        double arrivalSeconds = 0;
        while (true) {
            arrivalSeconds -= Math.log(1 - random.nextDouble()) / maximumRate;
            long arrivalMicros = (long) (arrivalSeconds * Timeline.SECOND_MICROS);
            if (arrivalMicros >= Timeline.ARRIVALS_END_MICROS) {
                return;
            }
            // Thins a Poisson process of the maximum rate to the rate at this time.
            if (random.nextDouble() * BURST_RATE_FACTOR < rateFactorAt(arrivalMicros)) {
                trace.add(createRequest(trace.size() + 1, kind, arrivalMicros, selectCustomer(customers)));
            }
        }
    }

    private static double rateFactorAt(long arrivalMicros) {
        if (arrivalMicros < Timeline.MEASUREMENT_START_MICROS) {
            return WARM_UP_RATE_FACTOR;
        }
        return arrivalMicros % BURST_INTERVAL_MICROS < BURST_DURATION_MICROS ? BURST_RATE_FACTOR : 1;
    }

    private TraceRequest createRequest(long identifier, RequestKind kind, long arrivalMicros, TraceCustomer customer) {
        int routerIndex = random.nextInt(ROUTERS);
        int prefixIndex = random.nextInt(PREFIXES_PER_CUSTOMER);
        if (kind == RequestKind.LOOKUP) {
            long serviceMicros = (long) lookupDistribution.sample();
            return new TraceRequest(
                    identifier,
                    arrivalMicros,
                    kind,
                    customer.owner(),
                    customer.name(),
                    routerIndex,
                    0,
                    0,
                    0,
                    0,
                    0,
                    serviceMicros);
        }
        // Half of the quick generations have a loose maximum, so only learned lengths show that they are quick. Their
        // customer is a separate one, so that it has a length history of its own.
        boolean hasTightMaximum = random.nextBoolean();
        String customerName =
                kind == RequestKind.QUICK && !hasTightMaximum ? customer.name() + "-desk" : customer.name();
        int maximumOutputTokens = kind == RequestKind.DRAFT
                ? MAXIMUM_OUTPUT_TOKENS
                : hasTightMaximum ? QUICK_MAXIMUM_OUTPUT_TOKENS : LOOSE_QUICK_MAXIMUM_OUTPUT_TOKENS;
        int promptTokens = PREFIX_TOKENS + (int) Math.min(8_000, promptDistribution.sample());
        return new TraceRequest(
                identifier,
                arrivalMicros,
                kind,
                customer.owner(),
                customerName,
                routerIndex,
                (long) customerName.hashCode() * PREFIXES_PER_CUSTOMER + prefixIndex,
                PREFIX_TOKENS,
                promptTokens,
                maximumOutputTokens,
                Math.min(maximumOutputTokens, sampleOutputTokens(kind, customer)),
                0);
    }

    private int sampleOutputTokens(RequestKind kind, TraceCustomer customer) {
        if (kind == RequestKind.QUICK) {
            return 1 + (int) quickOutputDistribution.sample();
        }
        double medianTokens = deployment.workload().medianDraftTokens() * customer.lengthFactor();
        return 4
                + (int) new LogNormalDistribution(
                                random,
                                Math.log(medianTokens),
                                deployment.workload().draftLogStandardDeviation())
                        .sample();
    }

    private TraceCustomer selectCustomer(List<TraceCustomer> customers) {
        double remainingWeight = random.nextDouble()
                * customers.stream().mapToDouble(TraceCustomer::weight).sum();
        for (TraceCustomer customer : customers) {
            remainingWeight -= customer.weight();
            if (remainingWeight < 0) {
                return customer;
            }
        }
        return customers.get(customers.size() - 1);
    }
}
