package org.redwinghook.standins.http;

import java.nio.charset.StandardCharsets;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetSocket;

/** Bytes of a faulty server in place of an answer. */
public enum BrokenAnswer {
    /** A body that ends with its connection, which does not end. */
    BODY_WITHOUT_END("HTTP/1.1 200 OK\r\n\r\n", "x", true),
    /** A stream of a model engine whose last event is followed by others. */
    EVENTS_AFTER_THE_LAST_ONE(
            "HTTP/1.1 200 OK\r\n\r\ndata: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n",
            "data: x\n\n",
            true),
    /** Chunks without a last one. */
    CHUNKS_WITHOUT_END("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", true),
    /** Empty lines in the place of events. */
    EMPTY_EVENTS_WITHOUT_END("HTTP/1.1 200 OK\r\n\r\n", "\n", true),
    /** Events that hold only a comment. */
    COMMENTS_WITHOUT_END("HTTP/1.1 200 OK\r\n\r\n", ":\n\n", true),
    /** Chunks of one byte. */
    SMALL_CHUNKS_WITHOUT_END("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\n:\r\n", true),
    /** Trailers without end after a complete body. */
    TRAILERS_WITHOUT_END("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n", "a: b\r\n", true),
    /** The body of a failure without end. */
    FAILURE_WITHOUT_END("HTTP/1.1 500 Failed\r\n\r\n", "x", true),
    /** A status that is none, with an otherwise sound response. */
    STATUS_0("HTTP/1.1 000 x\r\nContent-Length: 2\r\n\r\n{}", "", false),
    /** A status below those of interim responses. */
    STATUS_99("HTTP/1.1 099 x\r\nContent-Length: 2\r\n\r\n{}", "", false),
    /** A status that changes the protocol, although nobody asked for it. */
    STATUS_101("HTTP/1.1 101 x\r\nContent-Length: 2\r\n\r\n{}", "", false),
    /** An interim status in the place of a final one. */
    STATUS_199("HTTP/1.1 199 x\r\nContent-Length: 2\r\n\r\n{}", "", false),
    /** The first status above those of final responses. */
    STATUS_600("HTTP/1.1 600 x\r\nContent-Length: 2\r\n\r\n{}", "", false),
    /** The last status of three digits. */
    STATUS_999("HTTP/1.1 999 x\r\nContent-Length: 2\r\n\r\n{}", "", false),
    /** A status line without end. */
    STATUS_LINE_WITHOUT_END("HTTP/1.1 200 ", "x", true),
    /** Fields without the empty line after them. */
    FIELDS_WITHOUT_END("HTTP/1.1 200 OK\r\n", "a: b\r\n", true),
    /** A field without a line end. */
    FIELD_WITHOUT_END("HTTP/1.1 200 OK\r\na: ", "x", true),
    /** Interim responses without a final one. */
    INTERIM_RESPONSES_WITHOUT_END("", "HTTP/1.1 100 Continue\r\n\r\n", true),
    /** Empty lines in place of a head. */
    EMPTY_LINES_WITHOUT_END("", "\r\n", true),
    /** A head that breaks off with its connection. */
    CUT_HEAD("HTTP/1.1 200 OK\r\nContent-Le", "", true),
    /** A body that breaks off with its connection. */
    CUT_BODY("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", "", true),
    /** A head that breaks off while its connection stays open. */
    SILENCE_IN_HEAD("HTTP/1.1 200 OK\r\nContent-Le", "", false),
    /** A body that breaks off while its connection stays open. */
    SILENCE_IN_BODY("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{}", "", false);

    private static final int PART_BYTES = 64 * 1024;

    private final String beginning;
    private final Buffer part;
    private final boolean goesOn;

    BrokenAnswer(String beginning, String unit, boolean goesOn) {
        this.beginning = beginning;
        this.part = Buffer.buffer(
                unit.repeat(unit.isEmpty() ? 0 : PART_BYTES / unit.length()).getBytes(StandardCharsets.US_ASCII));
        this.goesOn = goesOn;
    }

    /**
     * Writes the answer, as fast as the other side reads and until the connection closes if it has no end.
     *
     * @param socket the connection
     * @param fields field lines that follow the status line, may be empty
     */
    public void writeTo(NetSocket socket, String fields) {
        socket.write(beginning.replaceFirst("\r\n", "\r\n" + fields));
        if (!goesOn) {
            return;
        }
        if (part.length() == 0) {
            socket.end();
            return;
        }
        writeWithoutEnd(socket, part);
    }

    private static void writeWithoutEnd(NetSocket socket, Buffer part) {
        socket.write(part).onSuccess(ignored -> writeWithoutEnd(socket, part));
    }
}
