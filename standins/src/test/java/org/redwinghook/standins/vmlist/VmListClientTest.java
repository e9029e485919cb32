package org.redwinghook.standins.vmlist;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.core.membership.Member;
import org.redwinghook.runtime.platform.VmListClient;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.standins.StandInClient;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.Test;

/** Guards against a client that keeps an outdated VM list, and against full lists in response to each read. */
public class VmListClientTest {

    /** Timeout that a busy machine does not exceed, in milliseconds, for tests that do not guard the timeout. */
    private static final long LONG_TIMEOUT_MILLIS = 30_000;

    private final Vertx vertx = Vertx.vertx();

    @AfterClass
    public void close() {
        vertx.close().await();
    }

    /** Guards against conditional reads that miss a change, also when the list returns to an earlier state. */
    @Test
    public void conditionalReadsReturnEachChange() {
        VmListStandIn list = new VmListStandIn(vertx, 0, new JsonArray().add(entry("a")));
        VmListClient client =
                new VmListClient(vertx, new Address("127.0.0.1", list.start().await()), LONG_TIMEOUT_MILLIS);
        Assert.assertEquals(names(client), List.of("a"));
        Assert.assertEquals(names(client), List.of("a"));
        list.add(entry("b"));
        Assert.assertEquals(names(client), List.of("a", "b"));
        list.setLeaving("b", true);
        Assert.assertTrue(client.read().await().get(1).leaving());
        list.remove("b");
        Assert.assertEquals(names(client), List.of("a"));
        Assert.assertEquals(names(client), List.of("a"));
    }

    /** Guards against a stand-in that sends an unchanged list again, or no list to a client with another entity tag. */
    @Test
    public void unchangedListIsNotSentAgain() throws Exception {
        VmListStandIn list = new VmListStandIn(vertx, 0, new JsonArray().add(entry("a")));
        StandInClient client = new StandInClient(list.start().await());
        String entityTag =
                client.send("GET", "/vms", "").headers().firstValue("etag").orElseThrow();
        Assert.assertEquals(
                client.send("GET", "/vms", "", "If-None-Match", entityTag).statusCode(), 304);
        Assert.assertEquals(
                client.send("GET", "/vms", "", "If-None-Match", entityTag).body(), "");
        Assert.assertEquals(
                client.send("GET", "/vms", "", "If-None-Match", "\"other\"").statusCode(), 200);
    }

    /** Guards against a client that requires entity tags, which a platform may not send. */
    @Test
    public void listWithoutEntityTagIsReadInFull() {
        AtomicInteger readCount = new AtomicInteger();
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> {
                    Assert.assertNull(request.getHeader("If-None-Match"));
                    request.response()
                            .end(new JsonArray()
                                    .add(entry("vm-" + readCount.incrementAndGet()))
                                    .encode());
                })
                .listen(0, "127.0.0.1")
                .await();
        VmListClient client =
                new VmListClient(vertx, new Address("127.0.0.1", server.actualPort()), LONG_TIMEOUT_MILLIS);
        Assert.assertEquals(names(client), List.of("vm-1"));
        Assert.assertEquals(names(client), List.of("vm-2"));
    }

    /** Guards against a client that waits forever for a list that does not respond, and never reads it again. */
    @Test(timeOut = 30_000)
    public void readThatIsNotAnsweredFailsAfterTheTimeout() {
        HttpServer server = vertx.createHttpServer()
                .requestHandler(request -> {})
                .listen(0, "127.0.0.1")
                .await();
        VmListClient client = new VmListClient(vertx, new Address("127.0.0.1", server.actualPort()), 200);
        long startNanos = System.nanoTime();
        Assert.assertThrows(TimeoutException.class, () -> client.read().await());
        Assert.assertTrue(System.nanoTime() - startNanos >= TimeUnit.MILLISECONDS.toNanos(200));
    }

    private static List<String> names(VmListClient client) {
        return client.read().await().stream().map(Member::vm).toList();
    }

    private static JsonObject entry(String vm) {
        return new JsonObject()
                .put("vm", vm)
                .put("dataCentre", "hu-central-1")
                .put("role", "router")
                .put("host", "127.0.0.1")
                .put("peerPort", 1)
                .put("adminPort", 2);
    }
}
