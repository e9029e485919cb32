package org.redwinghook.runtime.http;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;
import org.jspecify.annotations.Nullable;

/** Finds the end of a request head in received bytes without creating objects for its fields. */
final class RequestHeadScan {

    private static final byte CARRIAGE_RETURN = '\r';
    private static final byte LINE_FEED = '\n';
    private static final String CONTENT_LENGTH = "content-length:";
    private static final String TRANSFER_ENCODING = "transfer-encoding:";

    private int scannedBytes;
    private int lineStart;
    private int firstLineBytes;
    private int lines;
    private boolean isChunked;
    private boolean isFramingLine;
    private boolean isFirstLineMalformed;
    private boolean isMalformed;
    private long contentLength;

    /** Starts with a new head. */
    void reset() {
        scannedBytes = 0;
        lineStart = 0;
        firstLineBytes = 0;
        lines = 0;
        isChunked = false;
        isFramingLine = false;
        isFirstLineMalformed = false;
        isMalformed = false;
        contentLength = 0;
    }

    /**
     * Scans the bytes that were added since the last call.
     *
     * @param buffer all bytes of the head from its reader index on, maybe followed by other bytes
     * @return the size of the head in bytes, -1 if its end has not been received
     */
    int scan(ByteBuf buffer) {
        int start = buffer.readerIndex();
        while (scannedBytes < buffer.readableBytes()) {
            int lineFeed = buffer.forEachByte(
                    start + scannedBytes, buffer.readableBytes() - scannedBytes, ByteProcessor.FIND_LF);
            if (lineFeed < 0) {
                scannedBytes = buffer.readableBytes();
                return -1;
            }
            int length = lineLength(buffer, start + lineStart, lineFeed);
            scannedBytes = lineFeed - start + 1;
            if (length == 0 && lines > 0) {
                return scannedBytes;
            }
            if (length > 0) {
                readLine(buffer, start + lineStart, length);
            }
            lineStart = scannedBytes;
        }
        return -1;
    }

    /** Whether nothing of a head has been scanned. */
    boolean isNew() {
        return scannedBytes == 0;
    }

    /** Cause to refuse what has been scanned, null if there is none. */
    @Nullable
    ReceiveRefusal refusal(ReceiveLimitsInForce limits) {
        int firstBytes = lines == 0 ? scannedBytes : firstLineBytes;
        if (firstBytes > limits.maximumHeadBytes() || scannedBytes - firstBytes > limits.maximumHeadBytes()) {
            return ReceiveRefusal.HEAD_TOO_LARGE;
        }
        if (isFirstLineMalformed) {
            return ReceiveRefusal.MALFORMED_FIRST_LINE;
        }
        if (isMalformed) {
            return ReceiveRefusal.MALFORMED_FRAMING;
        }
        return fields() > limits.maximumFields() ? ReceiveRefusal.TOO_MANY_FIELDS : null;
    }

    /** Number of lines after the first one. */
    int fields() {
        return Math.max(0, lines - 1);
    }

    boolean isChunked() {
        return isChunked;
    }

    /** Declared size of the body in bytes, 0 if there is none. */
    long contentLength() {
        return contentLength;
    }

    private static int lineLength(ByteBuf buffer, int start, int lineFeed) {
        int length = lineFeed - start;
        return length > 0 && buffer.getByte(lineFeed - 1) == CARRIAGE_RETURN ? length - 1 : length;
    }

    private void readLine(ByteBuf buffer, int start, int length) {
        lines++;
        if (lines == 1) {
            firstLineBytes = scannedBytes;
            isFirstLineMalformed = buffer.forEachByte(start, length, character -> character >= 0) >= 0;
            return;
        }
        byte first = buffer.getByte(start);
        if (first == ' ' || first == '\t') {
            isMalformed |= isFramingLine;
            unfold(buffer, start);
            return;
        }
        isFramingLine = false;
        char initial = Character.toLowerCase((char) first);
        if (initial != 'c' && initial != 't') {
            return;
        }
        String name = text(buffer, start, Math.min(length, TRANSFER_ENCODING.length()));
        isFramingLine = name.startsWith(CONTENT_LENGTH) || name.startsWith(TRANSFER_ENCODING);
        if (!isFramingLine) {
            return;
        }
        String line = text(buffer, start, length);
        if (line.startsWith(CONTENT_LENGTH)) {
            contentLength = number(line.substring(CONTENT_LENGTH.length()).trim());
        } else {
            isChunked |= Arrays.stream(
                            line.substring(TRANSFER_ENCODING.length()).split(","))
                    .anyMatch(coding -> coding.trim().equals("chunked"));
        }
    }

    private static String text(ByteBuf buffer, int start, int length) {
        return buffer.toString(start, length, StandardCharsets.ISO_8859_1).toLowerCase(Locale.ROOT);
    }

    /** Replaces the end of the line before by spaces, so that a folded field is read in the same way everywhere. */
    private static void unfold(ByteBuf buffer, int start) {
        for (int index = start - 1; index >= buffer.readerIndex(); index--) {
            byte character = buffer.getByte(index);
            if (character != CARRIAGE_RETURN && character != LINE_FEED) {
                return;
            }
            buffer.setByte(index, ' ');
        }
    }

    /** A malformed length is 0 here; the decoder refuses its request. */
    private static long number(String text) {
        try {
            return Math.max(0, Long.parseLong(text));
        } catch (NumberFormatException malformed) {
            return 0;
        }
    }
}
