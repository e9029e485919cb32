package org.redwinghook.router.endpoint;

import io.vertx.core.Vertx;
import org.redwinghook.core.routing.EndpointSelector;
import org.redwinghook.router.metrics.RouterMetrics;

/**
 * Dependencies shared by all deliveries of a router.
 *
 * @param vertx runs timers
 * @param directory connections to the endpoints
 * @param selector selects an endpoint for a request
 * @param retries limits retries
 * @param timing timeouts of deliveries
 * @param metrics counts events
 * @param runningDeliveries deliveries that have not ended
 */
public record DeliveryContext(
        Vertx vertx,
        EndpointDirectory directory,
        EndpointSelector selector,
        RetryPermission retries,
        DeliveryTiming timing,
        RouterMetrics metrics,
        RunningDeliveries runningDeliveries) {}
