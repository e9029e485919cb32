package org.redwinghook.sidecar.once;

import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.vertx.core.Vertx;
import org.redwinghook.core.once.ExecutorIdentity;
import org.redwinghook.runtime.platform.LogClient;

/**
 * Dependencies that all partitions of an executor share.
 *
 * @param vertx Vert.x instance of the process
 * @param log client of the log
 * @param self identity of this executor
 * @param service service of the endpoint
 * @param windowMillis time for which keys are remembered
 * @param executorCount number of live executors that share the log
 * @param metrics counters of keyed calls
 */
public record KeyedCallContext(
        Vertx vertx,
        LogClient log,
        ExecutorIdentity self,
        String service,
        LongSupplier windowMillis,
        IntSupplier executorCount,
        KeyedCallMetrics metrics) {}
