package org.redwinghook.router;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.concurrent.TimeUnit;

import io.vertx.core.Future;
import org.redwinghook.core.message.Accepted;
import org.redwinghook.core.message.Cancel;
import org.redwinghook.core.message.Credit;
import org.redwinghook.core.message.Submit;
import org.redwinghook.core.message.Tokens;
import org.redwinghook.router.FakeSidecar.ReceivedMessage;
import org.redwinghook.router.RouterFixture.RunningRouter;
import org.testng.Assert;
import org.testng.annotations.Test;

/** Guards against callers that exhaust the router's memory or leave abandoned work behind. */
public class CallerConnectionTest extends RouterTestCase {

    private static final long STOP_TIMEOUT_SECONDS = 15;
    private static final int LARGE_TOKEN_CHARACTERS = 64 * 1024;

    /** Guards against unbounded memory: no credit may be granted while the caller does not read. */
    @Test
    public void grantsNoCreditWhileCallerDoesNotRead() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE);
        FakeSidecar sidecar = sidecar(0);
        try (Socket socket = request(router)) {
            ReceivedMessage<Submit> submit = sidecar.next(Submit.class);
            long exchange = submit.message().exchange();
            Assert.assertEquals(submit.message().credit(), 256);
            submit.send(new Accepted(exchange, "vm.1.1.1"));
            String text = "x".repeat(LARGE_TOKEN_CHARACTERS);
            for (int sequence = 1; sequence <= 256; sequence++) {
                submit.send(new Tokens(exchange, sequence, Collections.singletonList(text)));
            }
            RouterFixture.eventually(() -> router.counter("redwinghook_router_token_gap_seconds_count") == 255);
            long granted = 256;
            Credit credit;
            while ((credit = sidecar.poll(Credit.class, 30)) != null) {
                granted = credit.sendThrough();
            }
            Assert.assertTrue(granted < 512, "granted through " + granted);
            readAll(socket, (long) LARGE_TOKEN_CHARACTERS * 256);
            Credit after = sidecar.next(Credit.class).message();
            Assert.assertTrue(after.sendThrough() > granted, "granted through " + after.sendThrough());
        }
    }

    /** Guards against a request that stays in a sidecar's queue after its caller has disconnected. */
    @Test
    public void cancelsQueuedRequestWhenCallerGoes() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE);
        FakeSidecar sidecar = sidecar(0);
        Socket socket = request(router);
        long exchange = sidecar.next(Submit.class).message().exchange();
        socket.close();
        Cancel cancel = sidecar.next(Cancel.class).message();
        Assert.assertEquals(cancel.exchange(), exchange);
        Assert.assertTrue(cancel.callerGone());
    }

    /** Guards against a shutdown that truncates an answer that a slow caller has not read yet. */
    @Test
    public void stopWaitsForCallerThatReadsSlowly() throws Exception {
        RunningRouter router = start(RouterFixture.ENGINE_SERVICE);
        FakeSidecar sidecar = sidecar(0);
        try (Socket socket = request(router)) {
            ReceivedMessage<Submit> submit = sidecar.next(Submit.class);
            long exchange = submit.message().exchange();
            submit.send(new Accepted(exchange, "vm.1.1.1"));
            String text = "x".repeat(LARGE_TOKEN_CHARACTERS);
            for (int sequence = 1; sequence <= 200; sequence++) {
                submit.send(new Tokens(exchange, sequence, Collections.singletonList(text)));
            }
            submit.send(Answers.finished(exchange, 200));
            RouterFixture.eventually(() -> router.counter("redwinghook_router_token_gap_seconds_count") == 199);
            Future<Void> stopped = router.verticle.stopGracefully();
            Thread.sleep(100);
            Assert.assertFalse(stopped.isComplete(), "stopped while the answer was unread");
            String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            Assert.assertTrue(answer.contains("data: [DONE]"), answer.length() + " characters read");
            stopped.await();
        }
    }

    /** Guards against a stop that waits beyond its limit for a caller that never reads, until it is killed. */
    @Test
    public void stopWithALimitDoesNotWaitForACallerThatNeverReads() throws Exception {
        RunningRouter router = start(new RouterFixture(RouterFixture.ENGINE_SERVICE).stopTimes(0, 50));
        FakeSidecar sidecar = sidecar(0);
        try (Socket socket = request(router)) {
            ReceivedMessage<Submit> submit = sidecar.next(Submit.class);
            long exchange = submit.message().exchange();
            submit.send(new Accepted(exchange, "vm.1.1.1"));
            String text = "x".repeat(LARGE_TOKEN_CHARACTERS);
            for (int sequence = 1; sequence <= 200; sequence++) {
                submit.send(new Tokens(exchange, sequence, Collections.singletonList(text)));
            }
            RouterFixture.eventually(() -> router.counter("redwinghook_router_token_gap_seconds_count") == 199);
            Future<Void> stopped = router.verticle.stopGracefully();
            stopped.timeout(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS).await();
            Assert.assertTrue(socket.isConnected());
        }
    }

    private static Socket request(RunningRouter router) throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(LARGE_TOKEN_CHARACTERS);
        socket.connect(new InetSocketAddress("127.0.0.1", router.process.callerPort()));
        String body = RunningRouter.body(true);
        String head = "POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer retail-key\r\n"
                + "Content-Length: " + body.length() + "\r\n\r\n";
        socket.getOutputStream().write((head + body).getBytes(StandardCharsets.UTF_8));
        return socket;
    }

    private static void readAll(Socket socket, long bytes) throws IOException {
        InputStream input = socket.getInputStream();
        byte[] buffer = new byte[LARGE_TOKEN_CHARACTERS];
        long read = 0;
        while (read < bytes) {
            int count = input.read(buffer);
            Assert.assertTrue(count > 0, "the stream ended after " + read + " bytes");
            read += count;
        }
    }
}
