package org.redwinghook.runtime.process;

import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import org.jspecify.annotations.Nullable;

/** Runs a process on one event loop. Several may run in one Java virtual machine, as in tests. */
public final class ProcessVerticle extends VerticleBase {

    private final Function<Vertx, ManagedProcess> factory;
    private @Nullable ManagedProcess process;

    /**
     * Creates the verticle.
     *
     * @param factory creates the process; called on the event loop
     */
    public ProcessVerticle(Function<Vertx, ManagedProcess> factory) {
        this.factory = factory;
    }

    @Override
    public Future<?> start() {
        ManagedProcess created = factory.apply(vertx);
        process = created;
        return created.start();
    }

    /**
     * Stops the process gracefully. May be called from any thread.
     *
     * @return a future that completes when the process has stopped, and fails if the stop fails or throws an exception
     */
    public Future<Void> stopGracefully() {
        return stopGracefully(System.nanoTime());
    }

    /**
     * Stops the process gracefully. May be called from any thread.
     *
     * @param signalledAtNanos time of the stop signal, of {@link System#nanoTime()}
     * @return a future that completes when the process has stopped, and fails if the stop fails or throws an exception
     */
    Future<Void> stopGracefully(long signalledAtNanos) {
        Promise<Void> stopped = Promise.promise();
        context.runOnContext(ignored -> {
            ManagedProcess running = process;
            if (running == null) {
                stopped.complete();
                return;
            }
            Future.succeededFuture()
                    .compose(started ->
                            running.stopGracefully(TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAtNanos)))
                    .onComplete(stopped);
        });
        return stopped.future();
    }
}
