package org.redwinghook.router;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

import com.google.common.hash.Hashing;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.config.Configuration;
import org.redwinghook.core.config.Customer;
import org.redwinghook.core.config.DataCentre;
import org.redwinghook.core.config.DesiredEngine;
import org.redwinghook.core.config.Owner;
import org.redwinghook.core.config.Rules;
import org.redwinghook.core.config.Service;
import org.redwinghook.core.config.ServiceKind;
import org.redwinghook.router.endpoint.DeliveryTiming;
import org.redwinghook.runtime.config.FixedConfigurationSource;
import org.redwinghook.runtime.process.ProcessVerticle;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.runtime.settings.ProcessSettings;
import org.redwinghook.standins.log.LogStandIn;
import org.redwinghook.standins.vmlist.VmListStandIn;

/** Runs routers, a VM list, a log and fake sidecars in one JVM. */
final class RouterFixture implements AutoCloseable {

    private static final long LOG_RETENTION_MILLIS = 604_800_000;

    /** Time without a message after which a router closes its connection to a sidecar. */
    static final long SILENCE_MILLIS = 300;

    static final String ENGINE_SERVICE = "model";
    static final String PLAIN_SERVICE = "desk";

    private static final long WAIT_SECONDS = 5;
    private static final DeliveryTiming TIMING = new DeliveryTiming(50, SILENCE_MILLIS, 10, 50, 600, 100);

    final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
    final List<FakeSidecar> sidecars = new ArrayList<>();
    final List<RunningRouter> routers = new ArrayList<>();
    private final HttpClient client = HttpClient.newHttpClient();
    private final int logPort;
    private final int vmListPort;
    private double requestsPerSecond = 1_000;
    private long timeoutMillis = 5_000;
    private long settleMillis;
    private long drainTimeoutMillis;

    RouterFixture(String... services) {
        int number = 0;
        for (String service : services) {
            number++;
            sidecars.add(new FakeSidecar(vertx, "vm." + number, service));
        }
        JsonArray entries = new JsonArray();
        sidecars.forEach(sidecar -> entries.add(sidecar.vmListEntry()));
        vmListPort = new VmListStandIn(vertx, 0, entries).start().await();
        logPort = new LogStandIn(vertx, 0).start().await();
    }

    RouterFixture limit(double requestsEachSecond) {
        requestsPerSecond = requestsEachSecond;
        return this;
    }

    RouterFixture timeout(long millis) {
        timeoutMillis = millis;
        return this;
    }

    RouterFixture stopTimes(long settle, long drainTimeout) {
        settleMillis = settle;
        drainTimeoutMillis = drainTimeout;
        return this;
    }

    /** Starts a router and waits until it is connected to all sidecars. */
    RunningRouter startRouter() throws Exception {
        Address anyPort = new Address("127.0.0.1", 0);
        ProcessSettings shared = new ProcessSettings(
                "router-" + routers.size(),
                "dc",
                anyPort,
                anyPort,
                new Address("127.0.0.1", logPort),
                new Address("127.0.0.1", vmListPort),
                LOG_RETENTION_MILLIS,
                drainTimeoutMillis);
        RouterSettings settings = new RouterSettings(shared, anyPort, timeoutMillis, settleMillis, TIMING);
        AtomicReference<RouterProcess> created = new AtomicReference<>();
        ProcessVerticle verticle = new ProcessVerticle(inner -> {
            RouterProcess process = new RouterProcess(inner, settings, new FixedConfigurationSource(configuration()));
            created.set(process);
            return process;
        });
        vertx.deployVerticle(verticle).await();
        RunningRouter running = new RunningRouter(created.get(), verticle);
        routers.add(running);
        for (FakeSidecar sidecar : sidecars) {
            eventually(() -> running.endpoint(sidecar.vm).getBoolean("connected"));
        }
        return running;
    }

    /** Blocks the event loop of the routers and sidecars for a while, as on a VM without processor time. */
    void pause(long millis) {
        vertx.runOnContext(ignored -> {
            try {
                Thread.sleep(millis);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        });
    }

    /** Publishes all routers in the VM list and waits until they have read it. */
    void publishRouters() throws Exception {
        JsonArray entries = new JsonArray();
        sidecars.forEach(sidecar -> entries.add(sidecar.vmListEntry()));
        for (int number = 0; number < routers.size(); number++) {
            entries.add(new JsonObject()
                    .put("vm", "router-" + number)
                    .put("dataCentre", "dc")
                    .put("role", "router")
                    .put("host", "127.0.0.1")
                    .put("peerPort", routers.get(number).process.peerPort())
                    .put("adminPort", routers.get(number).process.adminPort()));
        }
        URI uri = URI.create("http://127.0.0.1:" + vmListPort + "/vms");
        HttpRequest request = HttpRequest.newBuilder(uri)
                .PUT(HttpRequest.BodyPublishers.ofString(entries.encode()))
                .build();
        client.send(request, HttpResponse.BodyHandlers.discarding());
        for (RunningRouter router : routers) {
            eventually(() -> {
                Answers.await(router.get("/services/desk/status", "Authorization", "Bearer press-key"));
                return router.quotaRouters() == routers.size();
            });
        }
    }

    JsonArray readLog(String stream) throws Exception {
        URI uri = URI.create("http://127.0.0.1:" + logPort + "/streams/" + stream + "/records?from=1&limit=100");
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        return new JsonObject(client.send(request, HttpResponse.BodyHandlers.ofString())
                        .body())
                .getJsonArray("records");
    }

    /** Blocks the event loop of all routers and fake sidecars, as a pause of the process does. */
    void pauseEventLoop(long millis) {
        vertx.getOrCreateContext().runOnContext(ignored -> {
            long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
            while (System.nanoTime() < endNanos) {
                LockSupport.parkNanos(endNanos - System.nanoTime());
            }
        });
    }

    static void eventually(Condition condition) throws Exception {
        long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(WAIT_SECONDS);
        while (!condition.isMet()) {
            if (System.nanoTime() > deadline) {
                throw new AssertionError("the condition was not met within " + WAIT_SECONDS + " s");
            }
            Thread.sleep(5);
        }
    }

    @Override
    public void close() {
        vertx.close().await();
    }

    private Configuration configuration() {
        return new Configuration(
                1,
                Map.of("owner", new Owner("owner", 1)),
                Map.of("retail", customer("retail"), "press", customer("press")),
                Map.of(
                        ENGINE_SERVICE,
                                new Service(
                                        ENGINE_SERVICE,
                                        ServiceKind.ENGINE,
                                        "owner",
                                        100_000,
                                        true,
                                        10,
                                        DesiredEngine.UNSPECIFIED,
                                        List.of()),
                        PLAIN_SERVICE,
                                new Service(
                                        PLAIN_SERVICE,
                                        ServiceKind.PLAIN,
                                        "owner",
                                        0,
                                        true,
                                        10,
                                        DesiredEngine.UNSPECIFIED,
                                        List.of())),
                Map.of("dc", new DataCentre("dc", "region")),
                Map.of(),
                Map.of(),
                Map.of(),
                Rules.DEFAULT,
                Map.of());
    }

    private Customer customer(String name) {
        String hash = Hashing.sha256()
                .hashString(name + "-key", StandardCharsets.UTF_8)
                .toString();
        return new Customer(name, "owner", List.of(hash), requestsPerSecond, 600_000_000, 1, 1);
    }

    interface Condition {
        boolean isMet() throws Exception;
    }

    /** A running router. */
    final class RunningRouter {

        final RouterProcess process;
        final ProcessVerticle verticle;

        RunningRouter(RouterProcess process, ProcessVerticle verticle) {
            this.process = process;
            this.verticle = verticle;
        }

        CompletableFuture<HttpResponse<String>> complete(boolean stream) {
            return post("/v1/completions", body(stream));
        }

        static String body(boolean stream) {
            return new JsonObject()
                    .put("model", ENGINE_SERVICE)
                    .put("prompt", "a prompt")
                    .put("stream", stream)
                    .encode();
        }

        CompletableFuture<HttpResponse<String>> post(String path, String body, String... headers) {
            return send(request(path, headers).POST(HttpRequest.BodyPublishers.ofString(body)));
        }

        CompletableFuture<HttpResponse<String>> get(String path, String... headers) {
            return send(request(path, headers));
        }

        int status(String path) throws Exception {
            return admin(path).statusCode();
        }

        double counter(String line) throws Exception {
            for (String text : admin("/metrics").body().split("\n")) {
                if (text.startsWith(line + " ")) {
                    return Double.parseDouble(text.substring(line.length() + 1));
                }
            }
            throw new AssertionError("no metric " + line);
        }

        int runningRequests() throws Exception {
            return new JsonObject(admin("/state").body())
                    .getJsonObject("router")
                    .getInteger("requests");
        }

        int quotaRouters() throws Exception {
            return new JsonObject(admin("/state").body()).getJsonObject("quota").getInteger("routers");
        }

        JsonObject endpoint(String vm) throws Exception {
            JsonArray endpoints = new JsonObject(admin("/state").body()).getJsonArray("endpoints");
            for (int index = 0; index < endpoints.size(); index++) {
                if (endpoints.getJsonObject(index).getString("vm").equals(vm)) {
                    return endpoints.getJsonObject(index);
                }
            }
            return new JsonObject().put("connected", false);
        }

        private HttpResponse<String> admin(String path) throws Exception {
            URI uri = URI.create("http://127.0.0.1:" + process.adminPort() + path);
            return client.send(HttpRequest.newBuilder(uri).build(), HttpResponse.BodyHandlers.ofString());
        }

        private HttpRequest.Builder request(String path, String... headers) {
            HttpRequest.Builder builder = HttpRequest.newBuilder(
                            URI.create("http://127.0.0.1:" + process.callerPort() + path))
                    .version(HttpClient.Version.HTTP_1_1)
                    .setHeader("Authorization", "Bearer retail-key");
            for (int index = 0; index < headers.length; index += 2) {
                builder.setHeader(headers[index], headers[index + 1]);
            }
            return builder;
        }

        private CompletableFuture<HttpResponse<String>> send(HttpRequest.Builder builder) {
            return client.sendAsync(builder.build(), HttpResponse.BodyHandlers.ofString());
        }
    }
}
