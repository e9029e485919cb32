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
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Acquires customers' quota from their owner routers, and grants it for the customers that this router owns. A request
 * waits at most {@link #OWNER_TIMEOUT_MILLIS} for the owner; after that it is decided by this router's local share of
 * the limit.
 */
public final class QuotaClient implements StateSource {

    private static final Logger LOGGER = LoggerFactory.getLogger(QuotaClient.class);

    /** Time after which an owner router without an answer counts as unresponsive, in milliseconds. */
    public static final long OWNER_TIMEOUT_MILLIS = 50;

    // An unresponsive owner receives no request for this time, so that not every request waits for the timeout.
    private static final long OWNER_RETRY_MILLIS = 1_000;

    private static final long LEASE_SETTLEMENT_INTERVAL_MILLIS = 500;
    private static final long USE_REPORT_INTERVAL_MILLIS = 10_000;

    private final Vertx vertx;
    private final String process;
    private final PeerDirectory peers;
    private final Function<String, Optional<QuotaLimit>> limitOf;
    private final UnaryOperator<String> regionOf;
    private final RouterMetrics metrics;
    private final QuotaOwner owner;
    private final Map<String, Account> accounts = new HashMap<>();
    private final Map<Long, Account> pendingRequests = new HashMap<>();
    private final Map<String, Long> unresponsiveUntilMillis = new HashMap<>();
    private final RegionUse otherRegionsUse = new RegionUse();
    private Map<String, List<String>> routersByRegion = Map.of();
    private List<String> ownRegionRouters = List.of();
    private String ownRegion = "";
    private long lastExchangeNumber;

    /**
     * Creates a client.
     *
     * @param vertx runs timers
     * @param process name of this router
     * @param peers connections to other routers
     * @param dispatcher dispatches quota messages of other routers
     * @param limitOf returns a customer's whole limit by the customer's name
     * @param regionOf returns the region of a data centre
     * @param metrics counts fallbacks
     */
    public QuotaClient(
            Vertx vertx,
            String process,
            PeerDirectory peers,
            MessageDispatcher dispatcher,
            Function<String, Optional<QuotaLimit>> limitOf,
            UnaryOperator<String> regionOf,
            RouterMetrics metrics) {
        this.vertx = vertx;
        this.process = process;
        this.peers = peers;
        this.limitOf = limitOf;
        this.regionOf = regionOf;
        this.metrics = metrics;
        this.owner = new QuotaOwner(nowMillis());
        dispatcher.on(QuotaRequest.class, this::handleQuotaRequest);
        dispatcher.on(QuotaUse.class, (connection, use) -> otherRegionsUse.recordReport(nowMillis(), use));
        dispatcher.on(QuotaGrant.class, (connection, grant) -> handleQuotaGrant(grant));
    }

    /** Starts to settle expired leases with the owner routers and to report use to other regions. */
    public void start() {
        vertx.setPeriodic(LEASE_SETTLEMENT_INTERVAL_MILLIS, ignored -> settleLeases());
        vertx.setPeriodic(USE_REPORT_INTERVAL_MILLIS, ignored -> reportUse());
    }

    /**
     * Acquires quota for one request and its reserved tokens.
     *
     * @param customer the customer
     * @param reservation number of reserved tokens
     * @return empty if the request is admitted, otherwise its refusal
     */
    public Future<Optional<Refusal>> acquire(Customer customer, long reservation) {
        Account account = account(customer.name());
        if (account.waiters.isEmpty() && account.lease.tryAcquire(nowMillis(), reservation)) {
            return Future.succeededFuture(Optional.empty());
        }
        long deniedMillis = account.lease.remainingDenialMillis(nowMillis());
        if (deniedMillis > 0) {
            return Future.succeededFuture(Optional.of(rateLimitRefusal(deniedMillis)));
        }
        Waiter waiter = new Waiter(reservation);
        account.waiters.add(waiter);
        waiter.timer = vertx.setTimer(OWNER_TIMEOUT_MILLIS, ignored -> decideByLocalShare(account, waiter));
        requestQuota(account);
        return waiter.promise.future();
    }

    /**
     * Charges tokens beyond a reservation.
     *
     * @param customer name of the customer
     * @param tokens number of tokens
     */
    public void charge(String customer, long tokens) {
        account(customer).lease.charge(nowMillis(), tokens);
    }

    /**
     * Refunds reserved tokens that were not used.
     *
     * @param customer name of the customer
     * @param tokens number of tokens
     */
    public void refund(String customer, long tokens) {
        account(customer).lease.refund(nowMillis(), tokens);
    }

    @Override
    public Object state() {
        return new QuotaState(ownRegionRouters.size(), owner.customers().size(), accounts.size());
    }

    private Account account(String customer) {
        return accounts.computeIfAbsent(customer, Account::new);
    }

    private void requestQuota(Account account) {
        Waiter firstWaiter = account.waiters.peek();
        QuotaLimit limit = limitOf.apply(account.customer).orElse(null);
        if (account.isRequestPending || limit == null) {
            return;
        }
        updateRouters();
        String ownerName =
                QuotaOwner.findOwner(account.customer, ownRegionRouters).orElse(process);
        boolean isSelfOwner = ownerName.equals(process);
        boolean isOwnerUnresponsive = unresponsiveUntilMillis.getOrDefault(ownerName, Long.MIN_VALUE) > nowMillis();
        if (!isSelfOwner && isOwnerUnresponsive) {
            List.copyOf(account.waiters).forEach(waiter -> decideByLocalShare(account, waiter));
            return;
        }
        PeerConnection connection =
                isSelfOwner ? null : peers.findConnection(ownerName).orElse(null);
        if (!isSelfOwner && connection == null) {
            // The timers of the waiting requests limit the time to connect.
            peers.connect(ownerName).onSuccess(opened -> requestQuota(account)).onFailure(failure -> List.copyOf(
                            account.waiters)
                    .forEach(waiter -> decideByLocalShare(account, waiter)));
            return;
        }
        lastExchangeNumber++;
        account.requestedAtMillis = nowMillis();
        account.isRequestPending = true;
        QuotaRequest request = account.lease.createRequest(
                account.requestedAtMillis,
                lastExchangeNumber,
                account.customer,
                account.waiters.size(),
                firstWaiter == null ? 0 : firstWaiter.reservation,
                limit);
        pendingRequests.put(lastExchangeNumber, account);
        if (isSelfOwner) {
            handleQuotaGrant(grantQuota(request, limit));
            return;
        }
        long exchange = lastExchangeNumber;
        vertx.setTimer(OWNER_TIMEOUT_MILLIS, ignored -> timeOutRequest(account, exchange, ownerName));
        if (connection != null) {
            connection.send(request);
        }
    }

    private void handleQuotaRequest(PeerConnection connection, QuotaRequest request) {
        updateRouters();
        limitOf.apply(request.customer()).ifPresent(limit -> connection.send(grantQuota(request, limit)));
    }

    private QuotaGrant grantQuota(QuotaRequest request, QuotaLimit limit) {
        long now = nowMillis();
        double use = owner.recentUse(now, request.customer(), limit);
        double share = otherRegionsUse.ownShare(now, request.customer(), ownRegion, use, routersByRegion.keySet());
        return owner.grant(now, request, limit.share(share));
    }

    /** Reports the use of the customers that this router owns to their owner routers in other regions. */
    void reportUse() {
        updateRouters();
        for (Map.Entry<String, List<String>> region : routersByRegion.entrySet()) {
            if (region.getKey().equals(ownRegion)) {
                continue;
            }
            Map<String, List<CustomerUse>> reports = new HashMap<>();
            for (String customer : owner.customers()) {
                QuotaLimit limit = limitOf.apply(customer).orElse(new QuotaLimit(0, 0));
                QuotaOwner.findOwner(customer, region.getValue())
                        .ifPresent(name -> reports.computeIfAbsent(name, ignored -> new ArrayList<>())
                                .add(new CustomerUse(customer, owner.recentUse(nowMillis(), customer, limit))));
            }
            reports.forEach((name, uses) ->
                    peers.findConnection(name).ifPresent(connection -> connection.send(new QuotaUse(ownRegion, uses))));
        }
    }

    private void handleQuotaGrant(QuotaGrant grant) {
        Account account = pendingRequests.remove(grant.exchange());
        if (account == null) {
            metrics.recordDroppedMessage();
            return;
        }
        account.isRequestPending = false;
        account.lease.applyGrant(nowMillis(), account.requestedAtMillis, grant);
        while (!account.waiters.isEmpty()
                && account.lease.tryAcquire(nowMillis(), account.waiters.peek().reservation)) {
            complete(account, account.waiters.remove(), Optional.empty());
        }
        if (account.waiters.isEmpty()) {
            return;
        }
        if (grant.retryAfterMillis() == 0) {
            // The answered request was sent before these requests came, perhaps only to settle an expired batch.
            requestQuota(account);
            return;
        }
        LOGGER.debug(
                "quota denied customer={} exchange={} waiting={} retryAfterMillis={}",
                account.customer,
                grant.exchange(),
                account.waiters.size(),
                grant.retryAfterMillis());
        Refusal refusal = rateLimitRefusal(grant.retryAfterMillis());
        List.copyOf(account.waiters).forEach(waiter -> complete(account, waiter, Optional.of(refusal)));
    }

    private void timeOutRequest(Account account, long exchange, String ownerName) {
        if (pendingRequests.remove(exchange) != null) {
            unresponsiveUntilMillis.put(ownerName, nowMillis() + OWNER_RETRY_MILLIS);
            account.isRequestPending = false;
            account.lease.timeOutRequest();
        }
    }

    private void decideByLocalShare(Account account, Waiter waiter) {
        metrics.recordQuotaFallback();
        QuotaLimit limit = limitOf.apply(account.customer).orElse(new QuotaLimit(0, 0));
        int sharingRouters = Math.max(1, ownRegionRouters.size() * routersByRegion.size());
        long retryAfterMillis = account.localShare.acquire(nowMillis(), waiter.reservation, limit, sharingRouters);
        complete(
                account,
                waiter,
                retryAfterMillis == 0 ? Optional.empty() : Optional.of(rateLimitRefusal(retryAfterMillis)));
    }

    private void complete(Account account, Waiter waiter, Optional<Refusal> refusal) {
        vertx.cancelTimer(waiter.timer);
        account.waiters.remove(waiter);
        waiter.promise.tryComplete(refusal);
    }

    private static Refusal rateLimitRefusal(long retryAfterMillis) {
        return new Refusal(RefusalReason.RATE_LIMITED, "the customer's limit is reached", retryAfterMillis);
    }

    private void settleLeases() {
        for (Account account : List.copyOf(accounts.values())) {
            if (account.waiters.isEmpty() && account.lease.needsSettling(nowMillis())) {
                requestQuota(account);
            }
        }
    }

    private void updateRouters() {
        Map<String, List<String>> updatedRoutersByRegion = new TreeMap<>();
        for (Member member : peers.routers()) {
            String region = regionOf.apply(member.dataCentre());
            updatedRoutersByRegion
                    .computeIfAbsent(region, ignored -> new ArrayList<>())
                    .add(member.vm());
            if (member.vm().equals(process)) {
                ownRegion = region;
            }
        }
        updatedRoutersByRegion.values().forEach(Collections::sort);
        routersByRegion = updatedRoutersByRegion;
        List<String> updatedRouters = updatedRoutersByRegion.getOrDefault(ownRegion, List.of());
        if (updatedRouters.equals(ownRegionRouters)) {
            return;
        }
        boolean isFirst = ownRegionRouters.isEmpty();
        ownRegionRouters = updatedRouters;
        if (!isFirst) {
            owner.updateRouters(nowMillis(), customer -> QuotaOwner.findOwner(customer, updatedRouters)
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
        private final LocalShare localShare = new LocalShare(nowMillis());
        private final Deque<Waiter> waiters = new ArrayDeque<>();
        private long requestedAtMillis;
        private boolean isRequestPending;

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
