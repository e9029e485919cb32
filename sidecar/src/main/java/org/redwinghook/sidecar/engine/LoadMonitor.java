package org.redwinghook.sidecar.engine;

import java.util.Objects;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import org.jspecify.annotations.Nullable;
import org.redwinghook.runtime.admin.StateSource;
import org.redwinghook.runtime.http.MessageBody;
import org.redwinghook.runtime.json.UntrustedJson;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Polls the engine's load reports and detects restarts and refused connections. */
public final class LoadMonitor implements StateSource {

    /** Default interval between polls. */
    public static final long POLL_INTERVAL_MILLIS = 1_000;

    private static final Logger LOGGER = LoggerFactory.getLogger(LoadMonitor.class);
    private static final int HTTP_OK = 200;

    private final EngineClient engine;
    private final Runnable onRestart;
    private final long timeoutMillis;
    private @Nullable LoadReport latestReport;
    private boolean isUnreachable;
    private boolean isPolling;

    /**
     * Creates a monitor and starts polling.
     *
     * @param vertx Vert.x instance of the process
     * @param engine client of the engine
     * @param intervalMillis interval between polls; also the timeout of a poll
     * @param onRestart called when the engine has restarted or refuses connections
     */
    public LoadMonitor(Vertx vertx, EngineClient engine, long intervalMillis, Runnable onRestart) {
        this.engine = engine;
        this.onRestart = onRestart;
        this.timeoutMillis = intervalMillis;
        vertx.setPeriodic(intervalMillis, ignored -> poll());
    }

    /**
     * Latest load report.
     *
     * @return the report, null before the first one is received
     */
    public @Nullable LoadReport latestReport() {
        return latestReport;
    }

    @Override
    public Object state() {
        LoadReport newest = latestReport;
        return newest == null ? "no report" : newest;
    }

    private void poll() {
        if (isPolling) {
            return;
        }
        isPolling = true;
        engine.readLoad(timeoutMillis)
                .onFailure(failure -> handleUnreachable())
                .compose(response -> MessageBody.read(response, timeoutMillis).map(body -> parseReport(response, body)))
                .timeout(timeoutMillis, TimeUnit.MILLISECONDS)
                .onSuccess(this::handleReport)
                .onComplete(ignored -> isPolling = false);
    }

    private static @Nullable LoadReport parseReport(HttpClientResponse response, Buffer body) {
        return response.statusCode() == HTTP_OK
                ? UntrustedJson.parseObject(body).mapTo(LoadReport.class)
                : null;
    }

    private void handleUnreachable() {
        if (isUnreachable) {
            return;
        }
        isUnreachable = true;
        LOGGER.warn("engine connection refused");
        onRestart.run();
    }

    private void handleReport(@Nullable LoadReport newReport) {
        isUnreachable = false;
        if (newReport == null) {
            return;
        }
        LoadReport previous = latestReport;
        latestReport = newReport;
        if (previous != null && !Objects.equals(previous.startedAt(), newReport.startedAt())) {
            LOGGER.info("engine restarted");
            onRestart.run();
        }
    }
}
