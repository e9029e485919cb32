package org.redwinghook.router.forward;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.vertx.core.buffer.Buffer;
import org.jspecify.annotations.Nullable;
import org.redwinghook.core.receive.ReceiveLimits;

/** Splits a stream of server-sent events into complete events without changing their bytes. */
final class EventSplitter {

    private static final Set<String> FIELDS_WITHOUT_VALUE = Set.of("data", "id", "event", "retry");
    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private Buffer pending = Buffer.buffer();
    private int scannedBytes;
    private int lineStart;
    private @Nullable String id;
    private boolean isWellFormed = true;
    private boolean hasFields;

    /**
     * An event.
     *
     * @param bytes bytes of the event, including empty lines before it and the one at its end
     * @param id identifier of the event, null if it has none
     * @param isWellFormed whether each line is a comment or a field, unlike an error text or the head of a response
     */
    record Event(Buffer bytes, @Nullable String id, boolean isWellFormed) {}

    /**
     * Adds the next bytes of the stream.
     *
     * @param bytes the bytes
     * @return events that these bytes complete
     */
    List<Event> add(Buffer bytes) {
        pending.appendBuffer(bytes);
        List<Event> events = new ArrayList<>();
        int start = 0;
        for (; scannedBytes < pending.length(); scannedBytes++) {
            if (pending.getByte(scannedBytes) != '\n') {
                continue;
            }
            if (isEmptyLine() && !hasFields) {
                // Empty lines before an event are no event of their own; they are forwarded with the one that follows.
                lineStart = scannedBytes + 1;
                continue;
            }
            if (isEmptyLine()) {
                events.add(new Event(pending.getBuffer(start, scannedBytes + 1), id, isWellFormed));
                id = null;
                isWellFormed = true;
                hasFields = false;
                start = scannedBytes + 1;
                lineStart = start;
                continue;
            }
            hasFields = true;
            isWellFormed = isWellFormed && isCommentOrField();
            if (id == null && isIdLine()) {
                id = pending.getString(lineStart + ID_FIELD.length, scannedBytes)
                        .strip();
            }
            lineStart = scannedBytes + 1;
        }
        if (start > 0) {
            pending = pending.getBuffer(start, pending.length());
            scannedBytes -= start;
            lineStart -= start;
        }
        return events;
    }

    private boolean isEmptyLine() {
        return scannedBytes == lineStart || (scannedBytes == lineStart + 1 && pending.getByte(lineStart) == '\r');
    }

    /** Whether the line begins with the name of a field and a colon, with a colon, or is a field without a value. */
    private boolean isCommentOrField() {
        for (int index = lineStart; index < scannedBytes; index++) {
            byte character = pending.getByte(index);
            if (character == ':') {
                return true;
            }
            boolean isNameCharacter = (character >= 'a' && character <= 'z')
                    || (character >= '0' && character <= '9')
                    || character == '-'
                    || character == '_';
            if (!isNameCharacter && !(character == '\r' && index == scannedBytes - 1)) {
                return false;
            }
        }
        return FIELDS_WITHOUT_VALUE.contains(
                pending.getString(lineStart, scannedBytes).strip());
    }

    private boolean isIdLine() {
        if (scannedBytes - lineStart < ID_FIELD.length) {
            return false;
        }
        for (int index = 0; index < ID_FIELD.length; index++) {
            if (pending.getByte(lineStart + index) != ID_FIELD[index]) {
                return false;
            }
        }
        return true;
    }

    /**
     * Whether the bytes of an unfinished event exceed {@link ReceiveLimits#MAXIMUM_MESSAGE_BYTES}.
     *
     * @return true if the stream must not be read any further
     */
    boolean isTooLarge() {
        return pending.length() > ReceiveLimits.MAXIMUM_MESSAGE_BYTES;
    }

    int pendingBytes() {
        return pending.length();
    }

    /**
     * Whether the bytes so far end within an event.
     *
     * @return true if the rest of an event is missing
     */
    boolean hasPartialEvent() {
        return hasFields || lineStart < pending.length();
    }

    /**
     * Empty lines after the last event.
     *
     * @return their bytes, to be forwarded at the end of a complete stream
     */
    Buffer trailingLines() {
        return pending;
    }
}
