package org.redwinghook.operator;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.runtime.config.ConfigurationLog;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.process.ExitCode;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.standins.log.LogStandIn;
import org.redwinghook.standins.vmlist.VmListStandIn;

/** Runs commands against a stand-in log, a stand-in VM list and processes that report a fixed offset. */
final class OperatorFixture implements AutoCloseable {

    static final String DOCUMENT = """
            owners:
              parna: {weight: 1.5}
            places:
              hu-1: {region: hu}
            customers:
              retail: {owner: parna, credentialHashes: [], requestsPerSecond: 20}
            """;

    final Vertx vertx = Vertx.vertx();
    final LogStandIn log = new LogStandIn(vertx, 0);
    final VmListStandIn vmList = new VmListStandIn(vertx, 0, new JsonArray());
    final List<JsonObject> withdrawals = new CopyOnWriteArrayList<>();
    final int logPort = log.start().await();
    private final int vmListPort = vmList.start().await();

    record CommandRun(ExitCode code, String output, String errors) {
        JsonObject json() {
            return new JsonObject(output);
        }
    }

    /** Runs a command without adding the addresses of the log and the VM list. */
    CommandRun runWithoutAddresses(String... arguments) {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        ByteArrayOutputStream errors = new ByteArrayOutputStream();
        ExitCode code = new OperatorCommandLine(
                        vertx,
                        new PrintStream(output, true, StandardCharsets.UTF_8),
                        new PrintStream(errors, true, StandardCharsets.UTF_8))
                .run(arguments);
        return new CommandRun(code, output.toString(StandardCharsets.UTF_8), errors.toString(StandardCharsets.UTF_8));
    }

    /** Runs a command with the addresses of the log and the VM list. */
    CommandRun run(String... arguments) {
        List<String> argumentsWithAddresses = new ArrayList<>(List.of(arguments));
        argumentsWithAddresses.addAll(List.of("--log", "127.0.0.1:" + logPort, "--vm-list", "127.0.0.1:" + vmListPort));
        return runWithoutAddresses(argumentsWithAddresses.toArray(String[]::new));
    }

    CommandRun publish(String document) {
        return run("publish", "--team", "platform", "--file", createFile(document), "--wait", "0");
    }

    CommandRun edit(String section, long replacedVersion, String team, String text) {
        String replacedVersionText = String.valueOf(replacedVersion);
        return run(
                "edit",
                "--section",
                section,
                "--replaces",
                replacedVersionText,
                "--team",
                team,
                "--file",
                createFile(text));
    }

    String createFile(String text) {
        try {
            Path file = Files.createTempFile("operator", ".yaml");
            file.toFile().deleteOnExit();
            return Files.writeString(file, text).toString();
        } catch (IOException exception) {
            throw new IllegalStateException(exception);
        }
    }

    /** Starts the admin port of a process that has applied the configuration through an offset; adds it to the VM list. */
    int startProcess(String vm, long offset) {
        HttpServer server = vertx.createHttpServer().requestHandler(request -> {
            if (request.path().equals("/withdrawals")) {
                request.body().onSuccess(body -> {
                    withdrawals.add(body.toJsonObject());
                    request.response().setStatusCode(202).end("{}");
                });
                return;
            }
            JsonObject sections = new JsonObject().put("availability.hu-1", new JsonObject().put("version", 2));
            request.response()
                    .end(new JsonObject()
                            .put("offset", offset)
                            .put("sections", sections)
                            .toBuffer());
        });
        int port = server.listen(0, "127.0.0.1").await().actualPort();
        addToVmList(vm, port);
        return port;
    }

    void addToVmList(String vm, int adminPort) {
        vmList.add(new JsonObject()
                .put("vm", vm)
                .put("dataCentre", "hu-1")
                .put("role", "router")
                .put("host", "127.0.0.1")
                .put("peerPort", 1)
                .put("adminPort", adminPort));
    }

    long countRecords() {
        return createLogClient()
                .read(ConfigurationLog.STREAM, 1, 1_000)
                .await()
                .records()
                .size();
    }

    JsonObject readRecord(int index) {
        return new JsonObject(Buffer.buffer(createLogClient()
                .read(ConfigurationLog.STREAM, 1, 1_000)
                .await()
                .records()
                .get(index)
                .data()));
    }

    LogClient createLogClient() {
        return new LogClient(vertx, new Address("127.0.0.1", logPort));
    }

    @Override
    public void close() {
        vertx.close().await();
    }
}
