package org.redwinghook.router.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import org.redwinghook.core.placement.WorkLedger;

/**
 * Services that requests share.
 *
 * @param vertx runs them
 * @param clock tells the time
 * @param state what the router knows
 * @param protocol names of headers
 * @param client HTTP client for endpoints
 * @param ledger running work
 * @param selector chooses endpoints
 * @param retryBudgets budget of second attempts
 * @param memoryMover moves the memory of runs
 * @param metrics counters and histograms
 * @param reportWork tells the other routers at once what has changed of this one's work
 */
record ForwardContext(
        Vertx vertx,
        MonotonicClock clock,
        ForwardingState state,
        ForwardProtocol protocol,
        HttpClientAgent client,
        WorkLedger ledger,
        ForwardSelector selector,
        ServiceRetryBudgets retryBudgets,
        MemoryMover memoryMover,
        ForwardMetrics metrics,
        Runnable reportWork) {}
