package org.redwinghook.experiments.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.math3.distribution.LogNormalDistribution;
import org.apache.commons.math3.random.RandomGenerator;
import org.apache.commons.math3.random.Well19937c;

/** Makes seeded traces: bursts, long-tailed outputs, a few large customers, quick calls and lookups beside drafts. */
final class TraceGenerator {

    static final int LARGEST_OUTPUT_TOKENS = 32_768;

    private static final int QUICK_MAXIMUM_TOKENS = 64;
    private static final int UNBOUNDED_QUICK_MAXIMUM_TOKENS = 512;
    private static final int ROUTERS = 3;
    private static final int CUSTOMERS = 10;
    private static final int PREFIXES_PER_CUSTOMER = 3;
    private static final int PREFIX_TOKENS = 400;
    private static final double OTHER_OWNER_SHARE = 0.15;
    private static final double WARM_UP_RATE = 0.5;
    private static final double BURST_RATE = 1.6;
    private static final long BURST_EVERY = 45 * Timeline.SECOND;
    private static final long BURST_LASTS = 12 * Timeline.SECOND;
    private static final double MEDIAN_PROMPT_TOKENS = 600;
    private static final double MEDIAN_QUICK_TOKENS = 14;
    private static final double MEDIAN_LOOKUP_MICROS = 12_000;

    private final Deployment deployment;
    private final RandomGenerator random;
    private final LogNormalDistribution prompts;
    private final LogNormalDistribution quickOutputs;
    private final LogNormalDistribution lookups;

    TraceGenerator(Deployment deployment, long seed) {
        this.deployment = deployment;
        this.random = new Well19937c(seed + deployment.ordinal());
        this.prompts = new LogNormalDistribution(random, Math.log(MEDIAN_PROMPT_TOKENS), 0.7);
        this.quickOutputs = new LogNormalDistribution(random, Math.log(MEDIAN_QUICK_TOKENS), 0.5);
        this.lookups = new LogNormalDistribution(random, Math.log(MEDIAN_LOOKUP_MICROS), 0.6);
    }

    /** The deployment's usual customers: a few large ones, and some of the other owner. */
    static List<TraceCustomer> usualCustomers(Deployment deployment) {
        List<TraceCustomer> customers = new ArrayList<>();
        for (int rank = 1; rank <= CUSTOMERS; rank++) {
            double lengthFactor = rank % 3 == 0 ? 2 : rank % 3 == 1 ? 1 : 0.6;
            customers.add(new TraceCustomer("customer-" + rank, deployment.owner(), 1.0 / rank, lengthFactor));
        }
        double own = customers.stream().mapToDouble(TraceCustomer::weight).sum();
        double other = own * OTHER_OWNER_SHARE / (1 - OTHER_OWNER_SHARE);
        customers.add(new TraceCustomer("guest-1", deployment.otherOwner(), other, 1));
        return customers;
    }

    /** A trace of some kinds; the rate factor applies to the deployment's rates. */
    List<TracedRequest> generate(List<RequestKind> kinds, List<TraceCustomer> customers, double rateFactor) {
        List<TracedRequest> trace = new ArrayList<>();
        for (RequestKind kind : kinds) {
            generate(kind, customers, rateFactor, trace);
        }
        trace.sort(Comparator.comparingLong(TracedRequest::arrivalMicros).thenComparingLong(TracedRequest::identifier));
        return trace;
    }

    private void generate(
            RequestKind kind, List<TraceCustomer> customers, double rateFactor, List<TracedRequest> trace) {
        double perSecond = deployment.workload().perSecond(kind) * rateFactor;
        double highest = perSecond * BURST_RATE;
        double seconds = 0;
        while (true) {
            seconds -= Math.log(1 - random.nextDouble()) / highest;
            long arrival = (long) (seconds * Timeline.SECOND);
            if (arrival >= Timeline.LAST_ARRIVAL) {
                return;
            }
            // Thinning of a Poisson process at the highest rate gives one at the rate of the moment.
            if (random.nextDouble() * BURST_RATE < rate(arrival)) {
                trace.add(request(trace.size() + 1, kind, arrival, draw(customers)));
            }
        }
    }

    private static double rate(long arrivalMicros) {
        if (arrivalMicros < Timeline.MEASURED_FROM) {
            return WARM_UP_RATE;
        }
        return arrivalMicros % BURST_EVERY < BURST_LASTS ? BURST_RATE : 1;
    }

    private TracedRequest request(long identifier, RequestKind kind, long arrival, TraceCustomer customer) {
        int router = random.nextInt(ROUTERS);
        int prefix = random.nextInt(PREFIXES_PER_CUSTOMER);
        if (kind == RequestKind.LOOKUP) {
            long service = (long) lookups.sample();
            return new TracedRequest(
                    identifier, arrival, kind, customer.owner(), customer.name(), router, 0, 0, 0, 0, 0, service);
        }
        // A quick call's customer is a desk of its own, so that half of the quick calls are known by learning only.
        boolean bounded = random.nextBoolean();
        String name = kind == RequestKind.QUICK && !bounded ? customer.name() + "-desk" : customer.name();
        int maximum = kind == RequestKind.DRAFT
                ? LARGEST_OUTPUT_TOKENS
                : bounded ? QUICK_MAXIMUM_TOKENS : UNBOUNDED_QUICK_MAXIMUM_TOKENS;
        int prompt = PREFIX_TOKENS + (int) Math.min(8_000, prompts.sample());
        return new TracedRequest(
                identifier,
                arrival,
                kind,
                customer.owner(),
                name,
                router,
                (long) name.hashCode() * PREFIXES_PER_CUSTOMER + prefix,
                PREFIX_TOKENS,
                prompt,
                maximum,
                Math.min(maximum, output(kind, customer)),
                0);
    }

    private int output(RequestKind kind, TraceCustomer customer) {
        if (kind == RequestKind.QUICK) {
            return 1 + (int) quickOutputs.sample();
        }
        double median = deployment.workload().medianDraftTokens() * customer.lengthFactor();
        return 4
                + (int) new LogNormalDistribution(
                                random, Math.log(median), deployment.workload().draftSpread())
                        .sample();
    }

    private TraceCustomer draw(List<TraceCustomer> customers) {
        double point = random.nextDouble()
                * customers.stream().mapToDouble(TraceCustomer::weight).sum();
        for (TraceCustomer customer : customers) {
            point -= customer.weight();
            if (point < 0) {
                return customer;
            }
        }
        return customers.get(customers.size() - 1);
    }
}
