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
import org.redwinghook.runtime.http.MessageBody;
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
     * Creates a commander; {@link #start} starts it.
     *
     * @param engine client of the engine
     * @param service service of the endpoint
     * @param configuration contains the desired state
     * @param gate refuses new work while a version change is pending
     * @param rank returns the rank of this endpoint in its region for a desired state
     * @param timings intervals and timeouts
     * @param metrics counters of commands
     */
    public EngineCommander(
            EngineClient engine,
            String service,
            ConfigurationSource configuration,
            EndpointGate gate,
            Function<DesiredEngine, OptionalInt> rank,
            CommanderTimings timings,
            CommandMetrics metrics) {
        this.engine = engine;
        this.service = service;
        this.configuration = configuration;
        this.gate = gate;
        this.rank = rank;
        this.timings = timings;
        this.metrics = metrics;
        this.planner = new EngineCommandPlanner(timings.loadSlotMillis());
    }

    /**
     * Starts to read the engine's state periodically and to send commands.
     *
     * @param vertx Vert.x instance of the process
     */
    public void start(Vertx vertx) {
        configuration.onConfirmed(this::handleConfirmedConfiguration);
        vertx.setPeriodic(timings.intervalMillis(), ignored -> readState());
    }

    /** Stops sending commands, so that a stopping sidecar starts no weight load during its last generations. */
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
        engine.readState(timings.intervalMillis())
                .compose(this::parseState)
                .onComplete(ignored -> isReading = false)
                .onFailure(failure -> metrics.recordReadFailure())
                .onSuccess(state -> {
                    planner.recordReportedState(state, requestedAtMillis, EndpointGate.nowMillis());
                    gate.setVersionChangePending(planner.refusesWork());
                    sendNextCommand();
                });
    }

    private Future<ReportedState> parseState(HttpClientResponse response) {
        return MessageBody.read(response, timings.intervalMillis())
                .compose(body -> response.statusCode() == HTTP_OK
                        ? Future.succeededFuture(EngineStateCodec.decode(body))
                        : Future.failedFuture("the engine answered GET /state with status " + response.statusCode()));
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
            LOGGER.info("engine command sent command={}", command);
        }
        lastCommand = command;
        metrics.recordSent();
        engine.sendCommand(EngineStateCodec.encode(command), timings.commandTimeoutMillis())
                .compose(response -> MessageBody.read(response, timings.commandTimeoutMillis())
                        .map(ignored -> toResult(response.statusCode())))
                .timeout(timings.commandTimeoutMillis(), TimeUnit.MILLISECONDS)
                .onSuccess(this::handleResult)
                .onFailure(failure -> handleResult(CommandResult.FAILED));
    }

    private void handleResult(CommandResult result) {
        metrics.recordResult(result);
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
