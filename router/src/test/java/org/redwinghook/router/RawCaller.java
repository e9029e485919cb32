package org.redwinghook.router;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.redwinghook.router.RouterFixture.RunningRouter;
import org.testng.Assert;

/** A caller that writes its requests byte by byte to a socket of its own. */
final class RawCaller implements AutoCloseable {

    private static final int READ_TIMEOUT_MILLIS = 5_000;
    private static final String HEAD_END = "\r\n\r\n";

    private final Socket socket;
    private final String body = RunningRouter.body(true);

    RawCaller(RunningRouter router) throws IOException {
        socket = new Socket("127.0.0.1", router.process.callerPort());
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        socket.setTcpNoDelay(true);
    }

    void send(String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    void sendWholeRequest() throws IOException {
        send(head() + body);
    }

    void sendHeadAndHalfOfBody() throws IOException {
        send(head() + body.substring(0, body.length() / 2));
    }

    void sendThirdQuarterOfBody() throws IOException {
        send(body.substring(body.length() / 2, body.length() * 3 / 4));
    }

    void sendLastQuarterOfBody() throws IOException {
        send(body.substring(body.length() * 3 / 4));
    }

    /** Reads the head of a response and the body that its Content-Length announces. */
    String readAnswer() throws IOException {
        String head = readThrough(HEAD_END);
        byte[] content = socket.getInputStream().readNBytes(contentLength(head));
        return head + new String(content, StandardCharsets.UTF_8);
    }

    /** Reads until a text has arrived. */
    String readThrough(String end) throws IOException {
        ByteArrayOutputStream read = new ByteArrayOutputStream();
        while (!read.toString(StandardCharsets.UTF_8).endsWith(end)) {
            int next = socket.getInputStream().read();
            Assert.assertTrue(next >= 0, "the connection ended after: " + read);
            read.write(next);
        }
        return read.toString(StandardCharsets.UTF_8);
    }

    String readToEnd() throws IOException {
        return new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Checks that the router closes the connection without a reset and without another response. */
    void assertClosed() throws IOException {
        Assert.assertEquals(readToEnd(), "");
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }

    private String head() {
        return "POST /v1/completions HTTP/1.1\r\nHost: router\r\nAuthorization: Bearer retail-key\r\nContent-Length: "
                + body.length() + HEAD_END;
    }

    private static int contentLength(String head) {
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                return Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        }
        return 0;
    }
}
