package org.redwinghook.runtime.wire;

import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.read.ListAppender;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;
import org.redwinghook.runtime.settings.Address;
import org.slf4j.LoggerFactory;
import org.testng.Assert;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against bytes of another process that are no frames, without end. */
public class PeerConnectionTest {

    private static final int PART_BYTES = 64 * 1024;
    private static final long CLOSE_SECONDS = 5;

    private final ListAppender<ILoggingEvent> logLines = new ListAppender<>();
    private final AtomicInteger messages = new AtomicInteger();
    private Vertx vertx;
    private int port;

    @BeforeMethod
    public void open() {
        vertx = Vertx.vertx();
        logLines.list.clear();
        logLines.start();
        ((Logger) LoggerFactory.getLogger(PeerConnection.class)).addAppender(logLines);
        port = new PeerServer(
                        vertx,
                        new Address("127.0.0.1", 0),
                        new FrameCodec(),
                        new WireMetrics(new SimpleMeterRegistry()),
                        connection -> connection.onMessage(message -> messages.incrementAndGet()))
                .start()
                .await();
    }

    @AfterMethod(alwaysRun = true)
    public void close() {
        ((Logger) LoggerFactory.getLogger(PeerConnection.class)).detachAppender(logLines);
        vertx.close().await();
    }

    /** Bytes that begin with no length of a frame. */
    private enum Noise {
        TEXT("x"),
        ZEROS("\0"),
        HTTP_HEADS("HTTP/1.1 200 OK\r\n");

        private final Buffer part;

        Noise(String unit) {
            this.part = Buffer.buffer(unit.repeat(PART_BYTES / unit.length()));
        }
    }

    @DataProvider
    Object[][] noises() {
        return new Object[][] {{Noise.TEXT}, {Noise.ZEROS}, {Noise.HTTP_HEADS}};
    }

    @Test(dataProvider = "noises")
    public void bytesWithoutEndCloseTheConnectionWithOneLogLine(Noise noise) throws Exception {
        Promise<Void> closed = Promise.promise();
        vertx.createNetClient().connect(port, "127.0.0.1").onSuccess(socket -> {
            socket.closeHandler(ignored -> closed.complete());
            writeWithoutEnd(socket, noise.part);
        });
        closed.future().timeout(CLOSE_SECONDS, TimeUnit.SECONDS).await();
        Assert.assertEquals(logLines.list.size(), 1);
        Assert.assertEquals(messages.get(), 0);
    }

    private static void writeWithoutEnd(NetSocket socket, Buffer part) {
        socket.write(part).onSuccess(ignored -> writeWithoutEnd(socket, part));
    }
}
