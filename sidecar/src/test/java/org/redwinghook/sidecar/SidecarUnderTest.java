package org.redwinghook.sidecar;

import java.util.Map;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Rules;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.runtime.config.FixedConfigurationSource;
import org.redwinghook.runtime.process.ProcessVerticle;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.settings.ProcessSettings;

/** A real sidecar with its own event loop, so that it can be killed. */
final class SidecarUnderTest {

    static final String SERVICE = "orders";
    private static final long LOG_RETENTION_MILLIS = 604_800_000;
    private static final Address ANY_PORT = new Address("127.0.0.1", 0);

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    private final ProcessVerticle verticle;
    private SidecarProcess process;

    SidecarUnderTest(
            String name,
            ServiceKind kind,
            int endpointPort,
            int logPort,
            int vmListPort,
            long resumeWindowMillis,
            long drainTimeoutMillis) {
        ProcessSettings shared = new ProcessSettings(
                name,
                "dc",
                ANY_PORT,
                ANY_PORT,
                address(logPort),
                address(vmListPort),
                LOG_RETENTION_MILLIS,
                drainTimeoutMillis);
        SidecarSettings settings = new SidecarSettings(shared, SERVICE, kind, address(endpointPort), 32, 0);
        Rules defaults = Rules.DEFAULT;
        Rules rules = new Rules(
                defaults.retryShare(),
                defaults.attempts(),
                defaults.quickTokens(),
                defaults.concurrentWeightLoads(),
                resumeWindowMillis,
                defaults.idempotencyWindowMillis());
        Configuration configuration = new Configuration(
                1, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), rules, Map.of());
        verticle = new ProcessVerticle(processVertx ->
                process = new SidecarProcess(processVertx, settings, new FixedConfigurationSource(configuration)));
        vertx.deployVerticle(verticle).await();
    }

    int peerPort() {
        return process.peerPort();
    }

    int adminPort() {
        return process.adminPort();
    }

    Future<Void> stopGracefully() {
        return verticle.stopGracefully();
    }

    void kill() {
        vertx.close().await();
    }

    private static Address address(int port) {
        return new Address("127.0.0.1", port);
    }
}
