package org.redwinghook.router.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.UnaryOperator;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.redwinghook.core.config.Customer;
import org.redwinghook.core.membership.Member;
import org.redwinghook.core.message.CustomerUse;
import org.redwinghook.core.message.QuotaGrant;
import org.redwinghook.core.message.QuotaRequest;
import org.redwinghook.core.message.QuotaUse;
import org.redwinghook.core.message.RefusalReason;
import org.redwinghook.core.quota.CustomerLease;
import org.redwinghook.core.quota.LocalShare;
import org.redwinghook.core.quota.QuotaLimit;
import org.redwinghook.core.quota.QuotaOwner;
import org.redwinghook.core.quota.RegionUse;
import org.redwinghook.router.metrics.RouterMetrics;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.wire.MessageDispatcher;
import org.redwinghook.runtime.wire.PeerConnection;
import org.redwinghook.runtime.wire.PeerDirectory;

/**
 * Takes customers' quota from their owner routers, and grants it for the customers that this router owns. A request
 * waits at most {@link #OWNER_TIMEOUT_MILLIS} for the owner; then the local share decides.
 */
public final class QuotaClient implements StateSource {

    /** Time after which the owner router counts as not answering, in milliseconds. */
    public static final long OWNER_TIMEOUT_MILLIS = 50;

    // A silent owner is not asked for this time, so that not every request waits for its timeout.
    private static final long SILENT_OWNER_MILLIS = 1_000;

    private static final long SETTLE_INTERVAL_MILLIS = 500;
    private static final long REPORT_INTERVAL_MILLIS = 10_000;

    private final Vertx vertx;
    private final String process;
    private final PeerDirectory peers;
    private final Function<String, Optional<QuotaLimit>> limits;
    private final UnaryOperator<String> regionOf;
    private final RouterMetrics metrics;
    private final QuotaOwner owner;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<Long, Account> asked = new HashMap<>();
    private final Map<String, Long> silentUntilMillis = new HashMap<>();
    private final RegionUse otherRegions = new RegionUse();
    private Map<String, List<String>> regions = Map.of();
    private List<String> routers = List.of();
    private String ownRegion = "";
    private long lastExchange;

    /**
     * Creates a client.
     *
     * @param vertx runs timers
     * @param process name of this router
     * @param peers connections to other routers
     * @param dispatcher passes quota messages of other routers
     * @param limits finds a customer's whole limit by the customer's name
     * @param regionOf finds the region of a data centre
     * @param metrics counts fallbacks
     */
    public QuotaClient(
            Vertx vertx,
            String process,
            PeerDirectory peers,
            MessageDispatcher dispatcher,
            Function<String, Optional<QuotaLimit>> limits,
            UnaryOperator<String> regionOf,
            RouterMetrics metrics) {
        this.vertx = vertx;
        this.process = process;
        this.peers = peers;
        this.limits = limits;
        this.regionOf = regionOf;
        this.metrics = metrics;
        this.owner = new QuotaOwner(nowMillis());
        dispatcher.on(QuotaRequest.class, this::requested);
        dispatcher.on(QuotaUse.class, (connection, use) -> otherRegions.recordReport(nowMillis(), use));
        dispatcher.on(QuotaGrant.class, (connection, grant) -> granted(grant));
    }

    /** Starts to settle expired leases with the owners. */
    public void start() {
        vertx.setPeriodic(SETTLE_INTERVAL_MILLIS, ignored -> settle());
        vertx.setPeriodic(REPORT_INTERVAL_MILLIS, ignored -> reportUse());
    }

    /**
     * Takes one request and its reservation.
     *
     * @param customer the customer
     * @param reservation tokens reserved
     * @return empty if the request may run, otherwise its refusal
     */
    public Future<Optional<Refusal>> take(Customer customer, long reservation) {
        Account account = account(customer.name());
        if (account.waiting.isEmpty() && account.lease.tryAcquire(nowMillis(), reservation)) {
            return Future.succeededFuture(Optional.empty());
        }
        long denied = account.lease.remainingDenialMillis(nowMillis());
        if (denied > 0) {
            return Future.succeededFuture(Optional.of(limited(denied)));
        }
        Waiter waiter = new Waiter(reservation);
        account.waiting.add(waiter);
        waiter.timer = vertx.setTimer(OWNER_TIMEOUT_MILLIS, ignored -> ownerSilent(account, waiter));
        ask(account);
        return waiter.promise.future();
    }

    /**
     * Counts tokens beyond a reservation.
     *
     * @param customer name of the customer
     * @param tokens tokens
     */
    public void use(String customer, long tokens) {
        account(customer).lease.charge(nowMillis(), tokens);
    }

    /**
     * Gives back reserved tokens that were not used.
     *
     * @param customer name of the customer
     * @param tokens tokens
     */
    public void refund(String customer, long tokens) {
        account(customer).lease.refund(nowMillis(), tokens);
    }

    @Override
    public Object state() {
        return new QuotaState(routers.size(), owner.customers().size(), accounts.size());
    }

    private Account account(String customer) {
        return accounts.computeIfAbsent(customer, Account::new);
    }

    private void ask(Account account) {
        Waiter first = account.waiting.peek();
        QuotaLimit limit = limits.apply(account.customer).orElse(null);
        if (account.isAsking || limit == null) {
            return;
        }
        updateRouters();
        String ownerName = QuotaOwner.findOwner(account.customer, routers).orElse(process);
        boolean isOwnerHere = ownerName.equals(process);
        boolean isSilent = silentUntilMillis.getOrDefault(ownerName, Long.MIN_VALUE) > nowMillis();
        if (!isOwnerHere && isSilent) {
            List.copyOf(account.waiting).forEach(waiter -> ownerSilent(account, waiter));
            return;
        }
        PeerConnection connection =
                isOwnerHere ? null : peers.connection(ownerName).orElse(null);
        if (!isOwnerHere && connection == null) {
            // The waiters' timers bound the wait for the connection.
            peers.connect(ownerName).onSuccess(opened -> ask(account)).onFailure(failure -> List.copyOf(account.waiting)
                    .forEach(waiter -> ownerSilent(account, waiter)));
            return;
        }
        lastExchange++;
        account.askedAtMillis = nowMillis();
        account.isAsking = true;
        QuotaRequest request = account.lease.createRequest(
                account.askedAtMillis,
                lastExchange,
                account.customer,
                account.waiting.size(),
                first == null ? 0 : first.reservation,
                limit);
        asked.put(lastExchange, account);
        if (isOwnerHere) {
            granted(grant(request, limit));
            return;
        }
        long exchange = lastExchange;
        vertx.setTimer(OWNER_TIMEOUT_MILLIS, ignored -> unanswered(account, exchange, ownerName));
        if (connection != null) {
            connection.send(request);
        }
    }

    private void requested(PeerConnection connection, QuotaRequest request) {
        updateRouters();
        limits.apply(request.customer()).ifPresent(limit -> connection.send(grant(request, limit)));
    }

    private QuotaGrant grant(QuotaRequest request, QuotaLimit limit) {
        long now = nowMillis();
        double use = owner.recentUse(now, request.customer(), limit);
        double share = otherRegions.ownShare(now, request.customer(), ownRegion, use, regions.keySet());
        return owner.grant(now, request, limit.share(share));
    }

    /** Tells the owners in other regions the use of the customers owned here. */
    void reportUse() {
        updateRouters();
        for (Map.Entry<String, List<String>> region : regions.entrySet()) {
            if (region.getKey().equals(ownRegion)) {
                continue;
            }
            Map<String, List<CustomerUse>> reports = new HashMap<>();
            for (String customer : owner.customers()) {
                QuotaLimit limit = limits.apply(customer).orElse(new QuotaLimit(0, 0));
                QuotaOwner.findOwner(customer, region.getValue())
                        .ifPresent(name -> reports.computeIfAbsent(name, ignored -> new ArrayList<>())
                                .add(new CustomerUse(customer, owner.recentUse(nowMillis(), customer, limit))));
            }
            reports.forEach((name, uses) ->
                    peers.connection(name).ifPresent(connection -> connection.send(new QuotaUse(ownRegion, uses))));
        }
    }

    private void granted(QuotaGrant grant) {
        Account account = asked.remove(grant.exchange());
        if (account == null) {
            metrics.messageDropped();
            return;
        }
        account.isAsking = false;
        account.lease.applyGrant(nowMillis(), account.askedAtMillis, grant);
        int waitingBefore = account.waiting.size();
        while (!account.waiting.isEmpty()
                && account.lease.tryAcquire(nowMillis(), account.waiting.peek().reservation)) {
            finish(account, account.waiting.remove(), Optional.empty());
        }
        if (account.waiting.isEmpty()) {
            return;
        }
        if (account.waiting.size() < waitingBefore && grant.retryAfterMillis() == 0) {
            ask(account);
            return;
        }
        Refusal refusal = limited(Math.max(1, grant.retryAfterMillis()));
        List.copyOf(account.waiting).forEach(waiter -> finish(account, waiter, Optional.of(refusal)));
    }

    private void unanswered(Account account, long exchange, String ownerName) {
        if (asked.remove(exchange) != null) {
            silentUntilMillis.put(ownerName, nowMillis() + SILENT_OWNER_MILLIS);
            account.isAsking = false;
            account.lease.timeOutRequest();
        }
    }

    private void ownerSilent(Account account, Waiter waiter) {
        metrics.quotaFallback();
        QuotaLimit limit = limits.apply(account.customer).orElse(new QuotaLimit(0, 0));
        int sharing = Math.max(1, routers.size() * regions.size());
        long wait = account.share.acquire(nowMillis(), waiter.reservation, limit, sharing);
        finish(account, waiter, wait == 0 ? Optional.empty() : Optional.of(limited(wait)));
    }

    private void finish(Account account, Waiter waiter, Optional<Refusal> refusal) {
        vertx.cancelTimer(waiter.timer);
        account.waiting.remove(waiter);
        waiter.promise.tryComplete(refusal);
    }

    private static Refusal limited(long retryAfterMillis) {
        return new Refusal(RefusalReason.RATE_LIMITED, "the customer's limit is reached", retryAfterMillis);
    }

    private void settle() {
        for (Account account : List.copyOf(accounts.values())) {
            if (account.waiting.isEmpty() && account.lease.needsSettling(nowMillis())) {
                ask(account);
            }
        }
    }

    private void updateRouters() {
        Map<String, List<String>> found = new TreeMap<>();
        for (Member member : peers.routers()) {
            String region = regionOf.apply(member.dataCentre());
            found.computeIfAbsent(region, ignored -> new ArrayList<>()).add(member.vm());
            if (member.vm().equals(process)) {
                ownRegion = region;
            }
        }
        found.values().forEach(Collections::sort);
        regions = found;
        List<String> now = found.getOrDefault(ownRegion, List.of());
        if (now.equals(routers)) {
            return;
        }
        boolean isFirst = routers.isEmpty();
        routers = now;
        if (!isFirst) {
            owner.updateRouters(nowMillis(), customer -> QuotaOwner.findOwner(customer, now)
                    .filter(process::equals)
                    .isPresent());
        }
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }

    private record QuotaState(int routers, int ownedCustomers, int leases) {}

    private static final class Account {
        private final String customer;
        private final CustomerLease lease = new CustomerLease();
        private final LocalShare share = new LocalShare(nowMillis());
        private final Deque<Waiter> waiting = new ArrayDeque<>();
        private long askedAtMillis;
        private boolean isAsking;

        Account(String customer) {
            this.customer = customer;
        }
    }

    private static final class Waiter {
        private final long reservation;
        private final Promise<Optional<Refusal>> promise = Promise.promise();
        private long timer;

        Waiter(long reservation) {
            this.reservation = reservation;
        }
    }
}
