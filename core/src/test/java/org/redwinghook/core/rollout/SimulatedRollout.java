package org.redwinghook.core.rollout;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;

import org.redwinghook.core.forward.EndpointEntry;

/** Routers, endpoints of two versions, callers and links between routers, in simulated milliseconds. */
final class SimulatedRollout {

    private static final int STEP_MILLIS = 10;
    private static final int ENDPOINTS = 6;
    private static final double[] MACHINES = {1, 0.7, 1.7};
    private static final long STORE_MILLIS = 150;
    private static final int COUNTED_BAD = 50;

    /** A version: whether a response is a failure, and how many times as long as usual it takes. */
    interface Version {

        /** Factor of the duration; negative for a failure. */
        double respond(Random random, long millis, String route, boolean isLoaded);
    }

    /** Size and links of a deployment. */
    record Site(int routers, double requestsPerSecond, long durationMillis, long delayMillis, double loss) {}

    private record Event(long atMillis, Runnable action) {}

    private final Site site;
    private final Version version;
    private final Random random;
    private final int newEndpoints;
    private final List<RolloutDecision> decisions = new ArrayList<>();
    private final List<Long> reportedMillis = new ArrayList<>();
    private final int[] runningOld;
    private final int[] loads = new int[2 * ENDPOINTS];
    private final List<EndpointEntry> entries = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atMillis));
    private long now;
    private long writeMillis = -1;
    private double meanOldLoad;
    RolloutState written = RolloutState.RUNNING;
    long writtenMillis = -1;
    long requests;
    long exposed;
    long bad;
    long fiftiethBadMillis = Long.MAX_VALUE / 2;
    long lastExposedMillis;
    int cutAtComplete;
    String reason = "";

    SimulatedRollout(Site site, Version version, int newEndpoints, long seed) {
        this.site = site;
        this.version = version;
        this.newEndpoints = newEndpoints;
        this.random = new Random(seed);
        this.runningOld = new int[site.routers()];
        RolloutOrder order = new RolloutOrder("calls", "v2", site.durationMillis(), 1);
        for (int router = 0; router < site.routers(); router++) {
            decisions.add(new RolloutDecision(order, RolloutLimits.DEFAULT, "router-" + router, false, router * 5L));
            reportedMillis.add(Long.MIN_VALUE / 2);
        }
        for (int index = 0; index < ENDPOINTS + newEndpoints; index++) {
            entries.add(new EndpointEntry(
                    "e-" + index, "calls", "10.0.0.1", 1, "dc", 4, false, 0, 0, index < ENDPOINTS ? "v1" : "v2"));
        }
    }

    void run() {
        for (now = 0; now < site.durationMillis() && writtenMillis < 0; now += STEP_MILLIS) {
            while (!events.isEmpty() && events.peek().atMillis() <= now) {
                events.poll().action().run();
            }
            double expected = site.requestsPerSecond() * STEP_MILLIS / 1_000;
            for (; random.nextDouble() < expected; expected--) {
                request();
            }
            decisions.forEach(this::advance);
        }
        requests += (long) (site.requestsPerSecond() * (site.durationMillis() - now) / 1_000);
        reason = decisions.get(0).describe(now);
    }

    private void advance(RolloutDecision decision) {
        int index = decisions.indexOf(decision);
        if (now % 100 != 0) {
            return;
        }
        Set<String> names = new HashSet<>();
        decisions.forEach(other -> names.add("router-" + decisions.indexOf(other)));
        names.remove("router-" + index);
        boolean isUrgent = decision.advance(new RolloutRouters(names, names), runningOld[index] > 0, now);
        if (isUrgent || now - reportedMillis.get(index) >= decision.reportIntervalMillis()) {
            report(index);
        }
        RolloutState wanted = decision.wantedState(now);
        if (wanted != null && wanted.isFinal() && writeMillis < 0) {
            writeMillis = now;
            events.add(new Event(now + STORE_MILLIS, () -> write(wanted)));
        }
    }

    private void write(RolloutState state) {
        written = state;
        writtenMillis = now;
        if (state == RolloutState.COMPLETE) {
            for (int running : runningOld) {
                cutAtComplete += running;
            }
        }
    }

    private void report(int index) {
        reportedMillis.set(index, now);
        RouterEvidence report = decisions.get(index).report(1, now);
        for (int other = 0; other < decisions.size(); other++) {
            RolloutDecision receiver = decisions.get(other);
            if (other != index && random.nextDouble() >= site.loss()) {
                long delay = 1 + (long) (random.nextDouble() * 2 * site.delayMillis());
                events.add(new Event(now + delay, () -> receiver.merge(report, 0, now)));
            }
        }
    }

    private void request() {
        requests++;
        String route = random.nextDouble() < 0.7 ? "short" : "long";
        int router = random.nextInt(decisions.size());
        decisions.get(router).recordRequest(route, now);
        attempt(router, route, "r-" + requests, false);
    }

    private void attempt(int router, String route, String id, boolean isRetry) {
        RolloutDecision decision = decisions.get(router);
        List<EndpointEntry> ofOld = entries.subList(0, ENDPOINTS);
        List<EndpointEntry> ofNew = entries.subList(ENDPOINTS, entries.size());
        TrialGroup group = TrialGroup.of(ofNew, ofOld, decision.groupShare(now), decision.round(now));
        VersionChoice choice = decision.choose(id, route, isRetry, group, now);
        boolean isNew = choice.prefersNew() && newEndpoints > 0;
        if (choice == VersionChoice.NEW && newEndpoints == 0) {
            return;
        }
        boolean isTrial = choice == VersionChoice.TRIAL;
        int endpoint = -1;
        for (int index = isNew ? ENDPOINTS : 0; index < (isNew ? entries.size() : ENDPOINTS); index++) {
            boolean isAllowed = !isNew || !isTrial || group.members().contains("e-" + index);
            if (isAllowed && (endpoint < 0 || loads[index] < loads[endpoint])) {
                endpoint = index;
            }
        }
        start(router, route, id, endpoint, isNew, isRetry);
    }

    private void start(int router, String route, String id, int endpoint, boolean isNew, boolean isRetry) {
        RolloutDecision decision = decisions.get(router);
        long startedMillis = now;
        ObservedAttempt attempt = new ObservedAttempt(route, "e-" + endpoint, isNew, false, now);
        decision.recordStart(attempt);
        loads[endpoint]++;
        double usualMillis = route.equals("short") ? 200 : 900;
        double factor = MACHINES[endpoint % MACHINES.length] * Math.exp(0.3 * random.nextGaussian());
        double response = 1;
        if (isNew) {
            exposed++;
            lastExposedMillis = now;
            response = version.respond(random, now, route, loads[endpoint] > 0.8 * meanOldLoad);
        } else {
            runningOld[router]++;
            meanOldLoad += 0.01 * (loads[endpoint] - meanOldLoad);
            response = random.nextInt(500) == 0 ? -1 : 1;
        }
        double result = response;
        long millis = (long) (usualMillis * factor * Math.abs(response));
        events.add(new Event(now + millis, () -> {
            loads[endpoint]--;
            if (!isNew) {
                runningOld[router]--;
            }
            AttemptEnd end = result < 0 ? AttemptEnd.FAILED : AttemptEnd.COMPLETED;
            if (isNew && (result < 0 || result > 2) && ++bad == COUNTED_BAD) {
                fiftiethBadMillis = now;
            }
            if (decision.recordEnd(attempt, end, now - startedMillis, now)) {
                report(router);
            }
            if (result < 0 && !isRetry) {
                attempt(router, route, id, true);
            }
        }));
    }

    @Override
    public String toString() {
        return "state=%s at=%d requests=%d exposed=%d bad=%d fiftieth=%d last=%d cut=%d %s"
                .formatted(
                        written,
                        writtenMillis,
                        requests,
                        exposed,
                        bad,
                        fiftiethBadMillis,
                        lastExposedMillis,
                        cutAtComplete,
                        reason);
    }
}
