package org.redwinghook.router.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import org.redwinghook.core.forward.CallDurations;
import org.redwinghook.core.forward.EndpointNotices;
import org.redwinghook.core.forward.GenerationDurations;
import org.redwinghook.core.placement.WorkLedger;
import org.redwinghook.core.receive.ReceiveBudget;

/**
 * Services shared by all requests.
 *
 * @param vertx event loops and timers
 * @param clock monotonic clock
 * @param state configuration and endpoints known to the router
 * @param protocol mapping of HTTP headers
 * @param client HTTP client for endpoints
 * @param ledger work of all routers at each endpoint
 * @param selector chooses endpoints
 * @param retryBudgets retry budget of each service
 * @param memoryMover moves the memory of runs between engines
 * @param metrics counters and histograms
 * @param callDurations learned durations of calls
 * @param generationDurations learned durations of generations
 * @param observers observers of attempts at endpoints
 * @param notices what endpoints announced in their responses
 * @param promptGuard keeps prompts that crash endpoints away from them
 * @param pollBarrier delays work while the event loop is late
 * @param receiveBudget memory for received messages
 * @param waiting requests that wait for capacity
 * @param resumedStreams finds the software version of resumed streams
 * @param reportWork reports changes of this router's work to the other routers at once
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
        CallDurations callDurations,
        GenerationDurations generationDurations,
        AttemptObservers observers,
        EndpointNotices notices,
        PromptGuard promptGuard,
        PollBarrier pollBarrier,
        ReceiveBudget receiveBudget,
        WaitingRequests waiting,
        ResumedStreams resumedStreams,
        Runnable reportWork) {}
