package org.redwinghook.router.endpoint;

import io.vertx.core.Vertx;
import org.redwinghook.core.routing.EndpointSelector;
import org.redwinghook.router.metrics.RouterMetrics;

/**
 * What all deliveries of a router share.
 *
 * @param vertx runs timers
 * @param directory endpoints
 * @param selector selects among them
 * @param retries limits retries
 * @param timing times of deliveries
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
