package org.redwinghook.runtime.http;

import java.util.Locale;

/** Cause for which a connection of a caller ends before its request was passed on. */
public enum ReceiveRefusal {
    /** The request head did not arrive in time. */
    HEAD_TIMEOUT("408 Request Timeout"),
    /** The first line, the fields or the trailers are too long. */
    HEAD_TOO_LARGE("431 Request Header Fields Too Large"),
    /** The request has too many fields. */
    TOO_MANY_FIELDS("431 Request Header Fields Too Large"),
    /** The first line has bytes outside ASCII, which would reach the endpoint as other bytes. */
    MALFORMED_FIRST_LINE("400 Bad Request"),
    /** The framing of a body is malformed. */
    MALFORMED_FRAMING("400 Bad Request"),
    /** The memory for messages is exhausted, and the connection holds much of it. */
    MEMORY_EXHAUSTED("503 Service Unavailable"),
    /** There are too many connections. */
    TOO_MANY_CONNECTIONS("503 Service Unavailable"),
    /** The request made no progress while connections or memory were short. */
    NO_PROGRESS("408 Request Timeout");

    private final String status;

    ReceiveRefusal(String status) {
        this.status = status;
    }

    /**
     * A response without a body, after which the connection closes.
     *
     * @return the response, as sent
     */
    String response() {
        return "HTTP/1.1 " + status + "\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
    }

    /**
     * Name in logs and metrics.
     *
     * @return the name
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }
}
