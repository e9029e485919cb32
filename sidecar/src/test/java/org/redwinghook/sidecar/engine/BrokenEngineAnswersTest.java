package org.redwinghook.sidecar.engine;

import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import org.redwinghook.core.message.FinishReason;
import org.redwinghook.core.message.GenerationRequest;
import org.redwinghook.runtime.http.MessageBody;
import org.redwinghook.runtime.settings.Address;
import org.redwinghook.standins.http.BrokenAnswer;
import org.redwinghook.standins.http.BrokenServer;
import org.testng.Assert;
import org.testng.annotations.AfterClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against answers of an engine that have no end or break off, and hold connections that nobody waits for. */
public class BrokenEngineAnswersTest {

    private static final long INTERVAL_MILLIS = 100;
    private static final long COMMAND_TIMEOUT_MILLIS = 1_000;
    private static final long CLOSE_MILLIS = 5_000;

    private final Vertx vertx = Vertx.vertx();

    /** Counts the ends of a generation. */
    private static final class EndCounter implements EngineListener {

        private final AtomicInteger ends = new AtomicInteger();

        @Override
        public void onConnected() {}

        @Override
        public void onRefused() {
            ends.incrementAndGet();
        }

        @Override
        public void onToken(String text) {
            Assert.fail("no token was sent: " + text);
        }

        @Override
        public void onFinished(FinishReason reason) {
            ends.incrementAndGet();
        }

        @Override
        public void onFailed(String cause) {
            ends.incrementAndGet();
        }
    }

    @AfterClass(alwaysRun = true)
    public void close() {
        vertx.close().await();
    }

    @DataProvider(parallel = true)
    static Object[][] answers() {
        return Arrays.stream(BrokenAnswer.values())
                .map(answer -> new Object[] {answer})
                .toArray(Object[][]::new);
    }

    private EngineClient client(BrokenServer server) {
        return new EngineClient(vertx, new Address("127.0.0.1", server.start().await()));
    }

    @Test(dataProvider = "answers")
    public void loadReportsKeepNoConnections(BrokenAnswer answer) throws Exception {
        BrokenServer server = new BrokenServer(vertx, answer);
        LoadMonitor monitor = new LoadMonitor(vertx, client(server), INTERVAL_MILLIS, () -> {});
        Thread.sleep(15 * INTERVAL_MILLIS);
        Assert.assertNull(monitor.latestReport());
        Assert.assertTrue(server.connections() > 1, "polls " + server.connections());
        Assert.assertTrue(server.openConnections() <= 2, "open " + server.openConnections());
    }

    @Test(dataProvider = "answers")
    public void connectionOfAnEndedGenerationCloses(BrokenAnswer answer) throws Exception {
        BrokenServer server = new BrokenServer(vertx, answer);
        EndCounter counter = new EndCounter();
        EngineStream stream =
                client(server).generate("g-1", new GenerationRequest("model", "prompt", 1, 10), 0, counter);
        Thread.sleep(3 * INTERVAL_MILLIS);
        if (counter.ends.get() == 0) {
            stream.cancel();
        }
        server.awaitClosed(CLOSE_MILLIS);
        Assert.assertTrue(counter.ends.get() <= 1);
    }

    @Test(dataProvider = "answers")
    public void connectionOfACommandCloses(BrokenAnswer answer) throws Exception {
        BrokenServer server = new BrokenServer(vertx, answer);
        Assert.assertThrows(Exception.class, () -> client(server)
                .sendCommand(Buffer.buffer("{}"), COMMAND_TIMEOUT_MILLIS)
                .compose(response -> MessageBody.read(response, COMMAND_TIMEOUT_MILLIS))
                .await());
        server.awaitClosed(CLOSE_MILLIS);
    }
}
