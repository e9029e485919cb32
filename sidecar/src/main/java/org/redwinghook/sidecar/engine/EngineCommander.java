package org.redwinghook.sidecar.engine;

import java.util.OptionalInt;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import io.vavr.control.Either;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.config.DesiredEngine;
import org.redwinghook.core.engine.CommandResult;
import org.redwinghook.core.engine.DesiredState;
import org.redwinghook.core.engine.EngineCommand;
import org.redwinghook.core.engine.EngineCommandPlanner;
import org.redwinghook.core.engine.HoldReason;
import org.redwinghook.core.engine.LoadConditions;
import org.redwinghook.core.engine.ReportedState;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.config.ConfigurationSource;
import org.redwinghook.sidecar.peer.EndpointGate;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Brings the engine to the desired state of the configuration, one command at a time. */
public final class EngineCommander implements StateSource {

    private static final Logger LOGGER = LoggerFactory.getLogger(EngineCommander.class);
    private static final int HTTP_OK = 200;
    private static final int HTTP_CONFLICT = 409;

    private final EngineClient engine;
    private final String service;
    private final ConfigurationSource configuration;
    private final EndpointGate gate;
    private final Function<DesiredEngine, OptionalInt> rank;
    private final CommanderTimings timings;
    private final CommandMetrics metrics;
    private final EngineCommandPlanner planner;
    private @Nullable HoldReason hold;
    private @Nullable EngineCommand lastCommand;
    private boolean isReading;
    private boolean isStopped;

    /**
     * Creates a commander that has not started.
     *
     * @param engine the engine
     * @param service service of the endpoint
     * @param configuration gives the desired state
     * @param gate told whether the engine may get new work
     * @param rank rank of this endpoint in the region for a desired state
     * @param times intervals and timeouts
     * @param metrics counters
     */
    public EngineCommander(
            EngineClient engine,
            String service,
            ConfigurationSource configuration,
            EndpointGate gate,
            Function<DesiredEngine, OptionalInt> rank,
            CommanderTimings times,
            CommandMetrics metrics) {
        this.engine = engine;
        this.service = service;
        this.configuration = configuration;
        this.gate = gate;
        this.rank = rank;
        this.timings = times;
        this.metrics = metrics;
        this.planner = new EngineCommandPlanner(times.loadSlotMillis());
    }

    /**
     * Starts to read the engine's state and to command it.
     *
     * @param vertx runs the timer
     */
    public void start(Vertx vertx) {
        configuration.onConfirmed(this::handleConfirmedConfiguration);
        vertx.setPeriodic(timings.intervalMillis(), ignored -> readState());
    }

    /** Sends no further command, so that a leaving sidecar starts no load under its last generations. */
    public void stop() {
        isStopped = true;
    }

    @Override
    public Object state() {
        return new CommanderState(planner.desired(), planner.reported(), hold, lastCommand, planner.refusesWork());
    }

    private void handleConfirmedConfiguration() {
        planner.recordConfirmedConfiguration(
                DesiredState.of(configuration.current(), service), EndpointGate.nowMillis());
        gate.setVersionChangePending(planner.refusesWork());
    }

    private void readState() {
        if (isStopped) {
            return;
        }
        long requestedAtMillis = EndpointGate.nowMillis();
        planner.tick(requestedAtMillis);
        if (planner.desired().engine().equals(DesiredEngine.UNSPECIFIED)) {
            hold = HoldReason.AS_DESIRED;
            return;
        }
        if (isReading) {
            return;
        }
        isReading = true;
        engine.readState()
                .timeout(timings.intervalMillis(), TimeUnit.MILLISECONDS)
                .compose(EngineCommander::parseState)
                .onComplete(ignored -> isReading = false)
                .onFailure(failure -> metrics.readFailed())
                .onSuccess(state -> {
                    planner.recordReportedState(state, requestedAtMillis, EndpointGate.nowMillis());
                    gate.setVersionChangePending(planner.refusesWork());
                    sendNextCommand();
                });
    }

    private static Future<ReportedState> parseState(HttpClientResponse response) {
        if (response.statusCode() != HTTP_OK) {
            return Future.failedFuture("the engine answered with status " + response.statusCode());
        }
        return response.body().map(EngineStateCodec::decode);
    }

    private void sendNextCommand() {
        if (isStopped) {
            return;
        }
        int maximumLoads = configuration.current().rules().concurrentWeightLoads();
        LoadConditions conditions = new LoadConditions(rank, maximumLoads, gate.isIdle());
        Either<HoldReason, EngineCommand> next = planner.nextCommand(conditions, EndpointGate.nowMillis());
        hold = next.isLeft() ? next.getLeft() : null;
        next.forEach(this::send);
    }

    private void send(EngineCommand command) {
        if (!command.equals(lastCommand)) {
            LOGGER.info("the engine gets the command {}", command);
        }
        lastCommand = command;
        metrics.sent();
        engine.sendCommand(EngineStateCodec.encode(command))
                .compose(response -> response.body().map(ignored -> toResult(response.statusCode())))
                .timeout(timings.commandTimeoutMillis(), TimeUnit.MILLISECONDS)
                .onSuccess(this::handleResult)
                .onFailure(failure -> handleResult(CommandResult.FAILED));
    }

    private void handleResult(CommandResult result) {
        metrics.ended(result);
        planner.recordCommandResult(result, EndpointGate.nowMillis());
        readState();
    }

    private static CommandResult toResult(int status) {
        return switch (status) {
            case HTTP_OK -> CommandResult.APPLIED;
            case HTTP_CONFLICT -> CommandResult.REFUSED;
            default -> CommandResult.FAILED;
        };
    }

    private record CommanderState(
            DesiredState desired,
            @Nullable ReportedState reported,
            @Nullable HoldReason hold,
            @Nullable EngineCommand lastCommand,
            boolean refusesWork) {}
}
