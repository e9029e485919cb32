package org.redwinghook.standins.http;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.runtime.settings.Address;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Guards against answers of the log and of the VM list that have no end or break off, and hold memory or connections for
 * longer than their call lasts.
 */
public class BrokenPlatformAnswersTest {

    /** Time in which each call ends, in milliseconds: its timeout and a margin. */
    private static final long MAXIMUM_CALL_MILLIS = 5_000;

    private static final long CLOSE_MILLIS = 5_000;

    private final Vertx vertx = Vertx.vertx();

    /** A call to the platform. */
    private enum Call {
        APPEND((client, address) -> new LogClient(client, address).append("configuration", Buffer.buffer("record"))),
        READ((client, address) -> new LogClient(client, address).read("configuration", 1, 10)),
        VM_LIST((client, address) -> new VmListClient(client, address, 1_000).read());

        private final BiFunction<Vertx, Address, Future<?>> behaviour;

        Call(BiFunction<Vertx, Address, Future<?>> behaviour) {
            this.behaviour = behaviour;
        }

        Future<?> send(Vertx client, Address address) {
            return behaviour.apply(client, address);
        }
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        vertx.close().await();
    }

    @DataProvider(parallel = true)
    Object[][] callsAndAnswers() {
        List<Object[]> rows = new ArrayList<>();
        for (Call call : Call.values()) {
            Arrays.stream(BrokenAnswer.values()).forEach(answer -> rows.add(new Object[] {call, answer}));
        }
        return rows.toArray(Object[][]::new);
    }

    @Test(dataProvider = "callsAndAnswers")
    public void callFailsAndItsConnectionCloses(Call call, BrokenAnswer answer) throws Exception {
        BrokenServer server = new BrokenServer(vertx, answer);
        Address address = new Address("127.0.0.1", server.start().await());
        CompletableFuture<?> result =
                call.send(vertx, address).toCompletionStage().toCompletableFuture();
        Assert.assertThrows(ExecutionException.class, () -> result.get(MAXIMUM_CALL_MILLIS, TimeUnit.MILLISECONDS));
        Assert.assertTrue(server.connections() > 0);
        server.awaitClosed(CLOSE_MILLIS);
    }
}
