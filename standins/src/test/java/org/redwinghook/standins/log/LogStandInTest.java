package org.redwinghook.standins.log;

import java.io.IOException;

import io.vertx.core.Vertx;
import io.vertx.core.json.JsonObject;
import org.redwinghook.runtime.platform.LogClient;
import org.redwinghook.runtime.platform.LogPage;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.standins.StandInClient;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Guards against a stand-in that lacks failure modes of the platform's log: outages, limits and lost responses. */
public class LogStandInTest {

    private static final String RECORDS = "/streams/s/records";

    private Vertx vertx;
    private LogStandIn log;
    private StandInClient client;
    private int port;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        startLog(new LogSettings(1_000, 3, 3_600_000));
    }

    @AfterMethod
    public void close() {
        vertx.close().await();
    }

    @Test
    public void numbersEachStreamFromOneAndReadsRequestedRange() throws Exception {
        Assert.assertEquals(append(), 1);
        Assert.assertEquals(append(), 2);
        client.send("POST", "/streams/other/records", "x");
        JsonObject page = client.getJson(RECORDS + "?from=2&limit=1");
        Assert.assertEquals(page.getLong("first"), 1);
        Assert.assertEquals(page.getLong("next"), 3);
        Assert.assertEquals(page.getJsonArray("records").size(), 1);
        Assert.assertEquals(page.getJsonArray("records").getJsonObject(0).getLong("offset"), 2);
        Assert.assertEquals(client.send("GET", RECORDS + "?from=x", "").statusCode(), 400);
    }

    @Test
    public void appliesRetentionByCountAndAge() throws Exception {
        for (int number = 0; number < 5; number++) {
            append();
        }
        var expired = client.send("GET", RECORDS + "?from=2", "");
        Assert.assertEquals(expired.statusCode(), 410);
        Assert.assertEquals(new JsonObject(expired.body()).getLong("first"), 3);
        Assert.assertEquals(
                client.getJson(RECORDS + "?from=3").getJsonArray("records").size(), 3);
        startLog(new LogSettings(1_000, 100, 20));
        append();
        Thread.sleep(40);
        Assert.assertEquals(client.send("GET", RECORDS + "?from=1", "").statusCode(), 410);
        Assert.assertEquals(append(), 2);
    }

    /** Guards against a reader that never gets past a page that is larger than a message may be. */
    @Test
    public void clientReadsFewerRecordsWhenAPageIsTooLarge() throws Exception {
        startLog(new LogSettings(1_000, 100, 3_600_000));
        String record = "x".repeat(64 * 1024);
        for (int number = 0; number < 80; number++) {
            client.send("POST", RECORDS, record);
        }
        LogPage page = new LogClient(vertx, new Address("127.0.0.1", port))
                .read("s", 1, 500)
                .await();
        Assert.assertEquals(page.nextOffset(), 81);
        Assert.assertTrue(
                page.records().size() > 1 && page.records().size() < 80,
                "" + page.records().size());
    }

    @Test
    public void limitsAppendRate() throws Exception {
        startLog(new LogSettings(2, 100, 3_600_000));
        append();
        append();
        var refused = client.send("POST", RECORDS, "x");
        Assert.assertEquals(refused.statusCode(), 429);
        Assert.assertEquals(client.getJson(RECORDS).getLong("next"), 3);
    }

    @Test
    public void appendsRecordWhoseResponseIsLost() throws Exception {
        log.faults().update(faults -> faults.withLoseNextAnswers(1));
        Assert.assertThrows(IOException.class, this::append);
        Assert.assertEquals(client.getJson(RECORDS).getLong("next"), 2);
        log.faults().update(faults -> faults.withLoseAnswerEvery(2));
        Assert.assertThrows(IOException.class, this::append);
        Assert.assertEquals(append(), 3);
    }

    @Test
    public void appendsRecordAfterReportedFailure() throws Exception {
        // Long enough that even a slow machine reads the stream before the record is stored.
        log.faults().update(faults -> faults.withApplyLate(1, 3_000));
        Assert.assertEquals(client.send("POST", RECORDS, "x").statusCode(), 503);
        Assert.assertEquals(client.getJson(RECORDS).getLong("next"), 1);
        StandInClient.await(() -> nextOffset() == 2);
        Assert.assertEquals(append(), 2);
    }

    @Test
    public void switchesOutageAndDelayOverHttp() throws Exception {
        client.send("PUT", "/faults", "{\"down\": true}");
        Assert.assertThrows(IOException.class, this::append);
        Assert.assertTrue(client.getJson("/faults").getBoolean("down"));
        client.send("PUT", "/faults", "{\"down\": false, \"delayMillis\": 60}");
        long start = System.nanoTime();
        Assert.assertEquals(append(), 1);
        Assert.assertTrue(System.nanoTime() - start >= 60_000_000);
        Assert.assertEquals(client.send("PUT", "/faults", "{\"drown\": true}").statusCode(), 400);
    }

    private void startLog(LogSettings settings) {
        log = new LogStandIn(vertx, 0, settings);
        port = log.start().await();
        client = new StandInClient(port);
    }

    private long append() throws IOException, InterruptedException {
        return new JsonObject(client.send("POST", RECORDS, "x").body()).getLong("offset");
    }

    private long nextOffset() {
        try {
            return client.getJson(RECORDS).getLong("next");
        } catch (IOException | InterruptedException exception) {
            throw new IllegalStateException(exception);
        }
    }
}
