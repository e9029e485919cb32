package org.redwinghook.router.forward;

import io.vertx.core.Vertx;
import org.redwinghook.core.placement.WorkLedger;

/**
 * Services that roll-outs use.
 *
 * @param vertx event loop of the router
 * @param state orders and endpoints known to the router
 * @param exchange exchange with the other routers
 * @param ledger work of this router at each endpoint
 * @param store statuses of roll-outs
 * @param clock monotonic clock
 * @param metrics counters
 */
record RolloutContext(
        Vertx vertx,
        ForwardingState state,
        RouterExchange exchange,
        WorkLedger ledger,
        RolloutStore store,
        MonotonicClock clock,
        ForwardMetrics metrics) {}
