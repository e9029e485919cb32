package org.redwinghook.standins.weights;

import java.util.concurrent.CompletableFuture;

import io.vertx.core.Vertx;
import org.redwinghook.standins.StandInClient;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against a weight store whose total transfer rate grows with the number of downloads. */
public class WeightStoreStandInTest {

    @Test
    public void downloadsShareOneRate() throws Exception {
        Vertx vertx = Vertx.vertx();
        try {
            WeightStoreStandIn store = new WeightStoreStandIn(vertx, 0, 20_000, 200_000);
            StandInClient client = new StandInClient(store.start().await());
            long start = System.nanoTime();
            var other = client.sendAsync("GET", "/weights/base", "");
            Assert.assertEquals(client.send("GET", "/weights/base", "").body().length(), 20_000);
            Assert.assertEquals(other.get().body().length(), 20_000);
            long elapsedMillis = (System.nanoTime() - start) / 1_000_000;
            Assert.assertTrue(
                    elapsedMillis >= 190, "40,000 bytes at 200,000 bytes a second took " + elapsedMillis + " ms");
            store.faults().update(faults -> faults.withBytesPerSecond(1));
            CompletableFuture<?> interrupted = client.sendAsync("GET", "/weights/base", "");
            store.faults().update(faults -> faults.withDown(true));
            Assert.assertThrows(Exception.class, interrupted::get);
        } finally {
            vertx.close().await();
        }
    }
}
