package org.redwinghook.operator;

import java.util.function.Supplier;

import io.vavr.control.Either;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import org.redwinghook.runtime.config.ConfigurationPublisher;
import org.redwinghook.runtime.config.PlatformConfigurationLog;
import org.redwinghook.runtime.config.VertxScheduler;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.settings.Address;

/** Runs the clients of one command on one event loop and waits for their results. */
public final class OperatorSession {

    private final Vertx vertx;
    private final Context context;

    /**
     * Creates a session.
     *
     * @param vertx Vert.x instance that runs the clients
     */
    public OperatorSession(Vertx vertx) {
        this.vertx = vertx;
        this.context = vertx.getOrCreateContext();
    }

    /**
     * Runs an action on the event loop and blocks until it ends.
     *
     * @param action the action
     * @param <T> type of the result
     * @return the result, or the message of the failure
     */
    public <T> Either<String, T> await(Supplier<Future<T>> action) {
        Promise<T> promise = Promise.promise();
        context.runOnContext(ignored -> action.get().onComplete(promise));
        return promise.future()
                .transform(result -> Future.succeededFuture(
                        result.succeeded()
                                ? Either.<String, T>right(result.result())
                                : Either.<String, T>left(
                                        String.valueOf(result.cause().getMessage()))))
                .await();
    }

    /**
     * Creates a publisher for one command.
     *
     * @param logAddress address of the log service
     * @return the publisher, to be used on the event loop only
     */
    public ConfigurationPublisher createPublisher(Address logAddress) {
        return new ConfigurationPublisher(
                new PlatformConfigurationLog(new LogClient(vertx, logAddress)), new VertxScheduler(vertx));
    }

    /**
     * Vert.x instance of this session.
     *
     * @return the instance
     */
    public Vertx vertx() {
        return vertx;
    }
}
