package org.redwinghook.runtime.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.redwinghook.core.receive.CallerProtection;
import org.redwinghook.core.receive.ReceiveBudget;
import org.testng.Assert;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Guards against requests that arrive changed, early or never, and against bytes that are held without a limit. */
public class ConnectionGuardTest {

    private static final int MAXIMUM_HEAD_BYTES = 200;
    private static final int MAXIMUM_FIELDS = 10;
    private static final long TIMEOUT_MILLIS = 3_000;
    private static final String HEAD = "POST / HTTP/1.1\r\nHost: h\r\n";

    private final List<ReceiveRefusal> refusals = new ArrayList<>();
    private long nowMillis;

    private final class Connection {

        private final ReceiveBudget budget = new ReceiveBudget(10_000, () -> nowMillis);
        private final ConnectionGuard guard = new ConnectionGuard(
                new GuardedConnections(
                        new GuardedPort("test", 10),
                        () -> nowMillis,
                        budget,
                        () -> new ReceiveLimitsInForce(
                                MAXIMUM_HEAD_BYTES, MAXIMUM_FIELDS, TIMEOUT_MILLIS, TIMEOUT_MILLIS),
                        CallerProtection.defaults(2_200, 126_000_000),
                        refusals::add),
                "address",
                budget);
        private final EmbeddedChannel channel = new EmbeddedChannel(guard);
        private final StringBuilder passedOn = new StringBuilder();

        private String send(String bytes) {
            channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
            return read();
        }

        /** Bytes that were passed on since the last call. */
        private String read() {
            StringBuilder text = new StringBuilder();
            for (ByteBuf part = channel.readInbound(); part != null; part = channel.readInbound()) {
                text.append(part.toString(StandardCharsets.ISO_8859_1));
                part.release();
            }
            passedOn.append(text);
            return text.toString();
        }

        private String answerAll() {
            for (int length = -1; length < passedOn.length(); read()) {
                length = passedOn.length();
                guard.handleResponseWritten();
                channel.runPendingTasks();
            }
            return passedOn.toString();
        }
    }

    /**
     * Requests and what is passed on of them.
     *
     * @return name, received bytes, bytes passed on
     */
    @DataProvider
    public Object[][] requests() {
        return new Object[][] {
            {"no body", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"},
            {"line feeds only", "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\nHost: h\n\n"},
            {"empty lines first", "\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"},
            {"body", HEAD + "content-LENGTH:  4\r\n\r\n\r\n\r\n", HEAD + "content-LENGTH:  4\r\n\r\n\r\n\r\n"},
            {
                "folded field",
                HEAD + "a: b\r\n c\r\nContent-Length: 1\r\n\r\nx",
                HEAD + "a: b   c\r\nContent-Length: 1\r\n\r\nx"
            },
            {
                "chunks, extension and trailers",
                HEAD + "Transfer-Encoding: chunked\r\n\r\nA;e=\"1\"\r\n0123456789\r\n1\r\nx\r\n0\r\nt: 1\r\n\r\n",
                HEAD + "Transfer-Encoding: chunked\r\n\r\nb\r\n0123456789x\r\n0\r\n\r\n"
            },
        };
    }

    /**
     * Requests arrive the same in whatever pieces they are sent, one after the response of the other.
     *
     * @param name description of the request
     * @param received bytes of the request
     * @param expected bytes that are passed on
     */
    @Test(dataProvider = "requests")
    public void requestsArriveInOrderInAnyPieces(String name, String received, String expected) {
        Random random = new Random(7);
        for (int round = 0; round < 300; round++) {
            Connection connection = new Connection();
            String all = received.repeat(3);
            for (int sent = 0; sent < all.length(); ) {
                int end = Math.min(all.length(), sent + 1 + random.nextInt(round % 40 + 1));
                connection.send(all.substring(sent, end));
                sent = end;
            }
            Assert.assertEquals(withOneChunk(connection.passedOn), withOneChunk(expected), name);
            Assert.assertEquals(withOneChunk(connection.answerAll()), withOneChunk(expected.repeat(3)), name);
            Assert.assertEquals(connection.budget.heldBytes(), 0, name);
            connection.channel.finishAndReleaseAll();
        }
        Assert.assertEquals(refusals, List.of());
    }

    /** Leaves out the sizes of chunks, as data may be passed on in several ones. */
    private static String withOneChunk(CharSequence passedOn) {
        return passedOn.toString().replaceAll("(?<=\r\n|\r\n\r\n)[1-9a-f]\r\n([0-9x]+)\r\n", "$1");
    }

    /**
     * Requests that are refused.
     *
     * @return received bytes, cause
     */
    @DataProvider
    public Object[][] refusedRequests() {
        String chunked = HEAD + "Transfer-Encoding: chunked\r\n\r\n";
        return new Object[][] {
            {"GET /" + "x".repeat(MAXIMUM_HEAD_BYTES), ReceiveRefusal.HEAD_TOO_LARGE},
            {HEAD + "a: " + "x".repeat(MAXIMUM_HEAD_BYTES), ReceiveRefusal.HEAD_TOO_LARGE},
            {HEAD + "a:b\r\n".repeat(MAXIMUM_FIELDS), ReceiveRefusal.TOO_MANY_FIELDS},
            {"GET /\u00c3\u0093 HTTP/1.1\r\n", ReceiveRefusal.MALFORMED_FIRST_LINE},
            {HEAD + "Transfer-Encoding:\r\n chunked\r\n", ReceiveRefusal.MALFORMED_FRAMING},
            {chunked + "x\r\n", ReceiveRefusal.MALFORMED_FRAMING},
            {chunked + "1\r\nxy", ReceiveRefusal.MALFORMED_FRAMING},
            {chunked + "f".repeat(17), ReceiveRefusal.MALFORMED_FRAMING},
            {chunked + "1;" + "x".repeat(2_000), ReceiveRefusal.MALFORMED_FRAMING},
            {chunked + "0\r\n" + "a:b\r\n".repeat(MAXIMUM_HEAD_BYTES), ReceiveRefusal.HEAD_TOO_LARGE}
        };
    }

    /**
     * Requests over a limit are refused, and nothing of them stays in memory.
     *
     * @param received bytes of the request
     * @param cause expected cause
     */
    @Test(dataProvider = "refusedRequests")
    public void requestsOverALimitAreRefused(String received, ReceiveRefusal cause) {
        refusals.clear();
        Connection connection = new Connection();
        connection.send(received);
        Assert.assertEquals(refusals, List.of(cause));
        if (connection.channel.isOpen()) {
            Assert.assertEquals(connection.send("more"), "");
        }
        Assert.assertEquals(connection.budget.heldBytes(), 0);
        nowMillis += GuardedConnections.LINGER_MILLIS;
        connection.guard.check(nowMillis, false);
        Assert.assertFalse(connection.channel.isOpen());
        refusals.clear();
    }

    /** A head that does not arrive in time is refused, but a connection without one is not. */
    @Test
    public void headsThatDoNotArriveAreRefused() {
        refusals.clear();
        Connection silent = new Connection();
        Connection slow = new Connection();
        slow.send("G");
        nowMillis += TIMEOUT_MILLIS + 1;
        silent.guard.check(nowMillis, false);
        slow.guard.check(nowMillis, false);
        Assert.assertEquals(refusals, List.of(ReceiveRefusal.HEAD_TIMEOUT));
        Assert.assertTrue(silent.channel.isOpen());
        refusals.clear();
    }

    /** Requests sent ahead are not read without a bound, and give up their memory before the running one does. */
    @Test
    public void pipelinedRequestsAreNotReadAhead() {
        refusals.clear();
        Connection connection = new Connection();
        String request = HEAD + "\r\n";
        Assert.assertEquals(connection.send(request.repeat(200)), request);
        connection.channel.read();
        Assert.assertTrue(connection.budget.heldBytes() > 0);
        connection.send(request.repeat(1_000));
        Assert.assertEquals(connection.budget.heldBytes(), 0);
        Assert.assertEquals(refusals, List.of(ReceiveRefusal.MEMORY_EXHAUSTED));
        Assert.assertTrue(connection.channel.isOpen());
        connection.guard.handleResponseWritten();
        Assert.assertFalse(connection.channel.isOpen());
        refusals.clear();
    }
}
