package org.redwinghook.standins.plain;

import java.io.IOException;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.redwinghook.standins.StandInClient;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a service that hides repeated effects, or that cannot crash either before or after an effect. */
public class PlainServiceStandInTest {

    private Vertx vertx;
    private PlainServiceStandIn service;
    private StandInClient client;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        service = new PlainServiceStandIn(vertx, 0);
        client = new StandInClient(service.start().await());
        service.faults().update(faults -> faults.withRestartMillis(20));
    }

    @AfterMethod
    public void close() {
        vertx.close().await();
    }

    @Test
    public void repeatsEffectOfRepeatedKeyAndEchoesRequestId() throws Exception {
        Assert.assertEquals(placeOrder("r1").getString("request"), "r1");
        Assert.assertEquals(placeOrder("r2").getInteger("effect"), 2);
        Assert.assertEquals(service.effectsByIdempotencyKey("k").size(), 2);
        Assert.assertEquals(service.effectsByRequestId("r2").size(), 1);
        var listed = client.send("GET", "/effects?request=r1", "");
        Assert.assertEquals(new JsonArray(listed.body()).size(), 1);
        var lookup = client.send("GET", "/stock/linen", "", "x-request-id", "r3");
        Assert.assertEquals(lookup.headers().firstValue("x-request-id").orElse(""), "r3");
        Assert.assertEquals(service.effects().size(), 2, "a lookup has no effect");
    }

    @Test
    public void crashesBeforeEffect() throws Exception {
        service.faults().update(faults -> faults.withDieBeforeEffectNext(1));
        Assert.assertThrows(IOException.class, () -> placeOrder("r1"));
        Assert.assertTrue(service.effects().isEmpty());
        StandInClient.await(this::isReachable);
        Assert.assertEquals(placeOrder("r1").getInteger("effect"), 1);
    }

    @Test
    public void crashesAfterEffectAndRefusesConnections() throws Exception {
        service.faults().update(faults -> faults.withDieAfterEffectNext(1));
        Assert.assertThrows(IOException.class, () -> placeOrder("r1"));
        Assert.assertEquals(service.effects().size(), 1);
        StandInClient.await(this::isReachable);
        service.refuseConnections(50).await();
        Assert.assertFalse(isReachable());
        StandInClient.await(this::isReachable);
    }

    @Test
    public void delaysResponse() throws Exception {
        service.faults().update(faults -> faults.withAnswerDelayMillis(60));
        long start = System.nanoTime();
        placeOrder("r1");
        Assert.assertTrue(System.nanoTime() - start >= 60_000_000);
    }

    private boolean isReachable() {
        try {
            return client.send("GET", "/effects", "").statusCode() == 200;
        } catch (IOException | InterruptedException exception) {
            return false;
        }
    }

    private JsonObject placeOrder(String requestId) throws IOException, InterruptedException {
        JsonObject body = new JsonObject().put("request", requestId);
        return new JsonObject(client.send("POST", "/orders", body.encode(), "idempotency-key", "k")
                .body());
    }
}
