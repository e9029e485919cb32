package org.redwinghook.sidecar.once;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.once.ExecutorIdentity;
import org.redwinghook.runtime.platform.LogClient;

/**
 * What all partitions of an executor share.
 *
 * @param vertx runs timers
 * @param log the log
 * @param self this executor
 * @param service service of the endpoint
 * @param windowMillis time for which keys are remembered
 * @param executorCount number of live executors that share the log
 * @param metrics counts claims and appends
 */
public record KeyedCallContext(
        Vertx vertx,
        LogClient log,
        ExecutorIdentity self,
        String service,
        LongSupplier windowMillis,
        IntSupplier executorCount,
        KeyedCallMetrics metrics) {}
